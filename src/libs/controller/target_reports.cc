// Announcements of targets: registration, contact and departure.
//
// Announcements may come from other writers or be outdated. One that would replace the record of
// another incarnation counts only if the target that it names responds at its address. What a
// target says of itself doesn't change during an incarnation, but that it begins to drain: "Rack
// and room stay with the machine. The kind also stays with the machine" (PROTOCOL.md, "Machines").
// So an announcement that contradicts the record changes nothing until it is shown to be the
// target's own, and nothing in an announcement decides about later ones.
#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "controller/call_delegate.h"
#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::TargetView;
using metrics::Activity;
using metrics::ActivityMeter;
using workload::TargetIncarnation;
using workload::TargetRecord;

namespace {

void LogIgnored(const Announcement& announcement, std::string_view reason) {
  const TargetRecord& target = announcement.target;
  log::Warning(log::Category::kMembership, "announcement ignored",
               {{"target", target.incarnation.id},
                {"birth", target.incarnation.number},
                {"address", target.address},
                {"service", target.service},
                {"draining", target.draining},
                {"reason", reason}});
}

}  // namespace

void RunManager::Announce(base::TimePoint now, const Announcement& announcement,
                          const OnAnnounced& done) {
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kReports);
  if (!this->leading) return done(false);
  const TargetRecord& target = announcement.target;
  const auto known = this->state.Targets().find(target.incarnation.id);
  const bool is_known = known != this->state.Targets().end();
  if (is_known && known->second.incarnation == target.incarnation) {
    return this->Reannounce(now, known->second, announcement, done);
  }
  const workload::Declaration& declaration = this->state.CurrentDeclaration();
  const bool is_declared = std::ranges::any_of(
      declaration.services, [&](const auto& service) { return service.name == target.service; });
  if (declaration.version > 0 && !is_declared) {
    LogIgnored(announcement, "unknown service");
    return done(false);
  }
  if (this->state.IsRetired(target.incarnation)) {
    LogIgnored(announcement, "has left");
    return done(false);
  }
  const bool follows_retired = this->state.HasRetired(target.incarnation.id);
  if (!this->ReplacesRecord(target) && !follows_retired) return this->Register(announcement, done);
  this->RegisterIfPresent(now, announcement, done);
}

void RunManager::Reannounce(base::TimePoint now, const TargetRecord& record,
                            const Announcement& announcement, const OnAnnounced& done) {
  TargetView& view = this->targets.FindOrCreate(announcement.target.incarnation);
  const auto latest_clock = view.lease.LatestClock();
  if (!latest_clock || announcement.clock >= *latest_clock) view.last_contact = now;
  if (record.SaysTheSame(announcement.target)) {
    if (view.contradiction && view.contradiction->IsOlderThan(announcement.clock)) {
      view.contradiction.reset();
    }
    return done(true);
  }
  TargetRecord drained = record;
  drained.draining = true;
  if (drained.SaysTheSame(announcement.target)) return this->Register(announcement, done);
  this->OnContradiction(now, view, record, announcement, done);
}

void RunManager::OnContradiction(base::TimePoint now, TargetView& view, const TargetRecord& record,
                                 const Announcement& announcement, const OnAnnounced& done) {
  const TargetRecord& target = announcement.target;
  // Where the target is, its response there shows. It can't be polled at an address that is wrong.
  if (record.address != target.address) return this->RegisterIfPresent(now, announcement, done);
  std::optional<dispatch::Contradiction>& earlier = view.contradiction;
  const bool is_repeated = earlier && earlier->announced.SaysTheSame(target);
  if (is_repeated && earlier->IsOlderThan(announcement.clock)) {
    earlier.reset();
    return this->CorrectRecord(announcement, done);
  }
  if (!is_repeated) {
    earlier = dispatch::Contradiction{target, now, {}};
    this->MarkChanged(target.incarnation.id);
    this->context.RequestAdvance();
  }
  LogIgnored(announcement, "contradicts the record");
  done(false);
}

void RunManager::CorrectRecord(const Announcement& announcement, const OnAnnounced& done) {
  const TargetRecord& target = announcement.target;
  log::Warning(log::Category::kMembership, "target's record corrected",
               {{"target", target.incarnation.id},
                {"birth", target.incarnation.number},
                {"address", target.address},
                {"service", target.service},
                {"draining", target.draining}});
  this->context.Propose(workload::CorrectTarget{target},
                        [done](base::TimePoint, bool applied) { done(applied); });
}

bool RunManager::ReplacesRecord(const TargetRecord& target) const {
  return std::ranges::any_of(this->state.Targets(), [&](const auto& entry) {
    const auto& [id, record] = entry;
    const bool match = id == target.incarnation.id || record.address == target.address;
    return match && record.incarnation != target.incarnation;
  });
}

void RunManager::RegisterIfPresent(base::TimePoint now, const Announcement& announcement,
                                   const OnAnnounced& done) {
  if (!this->context.MayLead() || !this->calls.IsReady(now)) return done(false);
  PollRequest request;
  request.fence = this->fences.Raise(announcement.target.incarnation.id);
  this->calls.Poll(
      this->EndpointOf(announcement.target), request,
      [this, announcement, done, sent_fence = request.fence, sent_generation = this->generation](
          base::TimePoint received_at, const PollResponse& response) {
        if (sent_generation != this->generation) return done(false);
        const TargetIncarnation& announced = announcement.target.incarnation;
        const bool has_responded = response.status == CallStatus::kDone;
        const bool is_present = has_responded && response.lists.incarnation == announced.number;
        TargetView* view = this->targets.Find(announced.id);
        if (view != nullptr && has_responded) {
          if (response.lists.incarnation == view->incarnation.number) {
            view->fence = std::max(view->fence, sent_fence);
          } else if (is_present && view->incarnation.number < announced.number) {
            OnOtherIncarnation(received_at, *view);
          }
        }
        if (!is_present) {
          log::Warning(log::Category::kMembership, "announcement not confirmed by its target",
                       {{"target", announced.id},
                        {"birth", announced.number},
                        {"address", announcement.target.address},
                        {"verdict", base::NameOf(kCallStatusNames, response.status)}});
          return done(false);
        }
        const auto known = this->state.Targets().find(announced.id);
        const bool is_known = known != this->state.Targets().end();
        if (is_known && known->second.incarnation == announced) {
          return this->CorrectRecord(announcement, done);
        }
        if (is_known && known->second.incarnation.number > announced.number) {
          return this->ReplaceFalseRecord(known->second.incarnation, announcement,
                                          response.lists.clock, done);
        }
        this->RegisterSuccessor(announcement, response.lists.clock, done);
      });
}

void RunManager::ReplaceFalseRecord(const TargetIncarnation& recorded,
                                    const Announcement& announcement,
                                    dispatch::TargetMilliseconds clock, const OnAnnounced& done) {
  log::Warning(log::Category::kMembership, "target's record removed",
               {{"target", recorded.id},
                {"birth", recorded.number},
                {"reason", "an earlier birth responds"}});
  this->context.Propose(workload::RemoveTarget{recorded},
                        [this, recorded, announcement, clock, done,
                         sent_generation = this->generation](base::TimePoint, bool applied) {
                          if (!applied || sent_generation != this->generation) return done(false);
                          this->targets.Erase(recorded);
                          this->RegisterSuccessor(announcement, clock, done);
                        });
}

void RunManager::RegisterSuccessor(const Announcement& announcement,
                                   dispatch::TargetMilliseconds clock, const OnAnnounced& done) {
  // The response shows that requests for a former incarnation have no effect from now on, since
  // their fence is lower. Until then each of them may have extended the lease to its full length.
  const workload::InheritLease lease{announcement.target.incarnation,
                                     clock + base::ToMilliseconds(this->settings.longest_lease)};
  log::Info(log::Category::kMembership, "target inherits a lease",
            {{"target", lease.incarnation.id},
             {"birth", lease.incarnation.number},
             {"clock_ms", clock},
             {"deadline_ms", lease.deadline_ms}});
  this->context.Propose(lease, [this, announcement, done, sent_generation = this->generation](
                                   base::TimePoint, bool applied) {
    if (!applied || sent_generation != this->generation) return done(false);
    this->Register(announcement, done);
  });
}

void RunManager::Register(const Announcement& announcement, const OnAnnounced& done) {
  const TargetRecord& target = announcement.target;
  const auto on_proposed = [this, announcement, done](base::TimePoint applied_at, bool applied) {
    if (applied && this->leading) {
      TargetView& view = this->targets.FindOrCreate(announcement.target.incarnation);
      view.last_contact = applied_at;
      this->MarkChanged(announcement.target.incarnation.id);
      this->context.RequestAdvance();
    }
    done(applied);
  };
  log::Info(log::Category::kMembership, "target announced",
            {{"target", target.incarnation.id},
             {"birth", target.incarnation.number},
             {"address", target.address},
             {"draining", target.draining}});
  this->context.Propose(workload::RegisterTarget{target}, on_proposed);
}

void RunManager::NoteContact(base::TimePoint now, const TargetContact& contact) {
  if (!this->leading) return;
  TargetView* view = this->targets.Find(contact.target.id);
  if (view == nullptr || view->incarnation != contact.target) return;
  const auto latest_clock = view->lease.LatestClock();
  if (!latest_clock || contact.clock >= *latest_clock) view->last_contact = now;
}

void RunManager::Leave(base::TimePoint now, const std::string& id,
                       std::optional<workload::IncarnationNumber> incarnation_number,
                       const OnAnnounced& done) {
  if (!this->leading) return done(false);
  const auto known = this->state.Targets().find(id);
  if (known == this->state.Targets().end()) return done(true);
  const TargetRecord& record = known->second;
  const bool applies_to_record =
      incarnation_number ? record.incarnation.number == *incarnation_number : record.draining;
  if (!applies_to_record) return done(true);
  log::Info(log::Category::kMembership, "target leaves",
            {{"target", id}, {"birth", record.incarnation.number}});
  this->Depart(now, record, done);
}

}  // namespace mangoroad::controller
