// Announcements of targets: registration, contact and departure.
#include "controller/call_delegate.h"
#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::TargetView;
using metrics::Activity;
using metrics::ActivityMeter;
using workload::TargetRecord;

void RunManager::Announce(base::TimePoint now, const Announcement& announcement,
                          const OnAnnounced& done) {
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kReports);
  if (!this->leading) return done(false);
  const TargetRecord& target = announcement.target;
  const auto known = this->state.Targets().find(target.incarnation.id);
  const bool is_known = known != this->state.Targets().end();
  if (is_known && known->second.incarnation.number > target.incarnation.number) {
    return done(true);
  }
  const bool is_same_incarnation = is_known && known->second.incarnation == target.incarnation;
  if (is_same_incarnation) {
    TargetView& view = this->targets.FindOrCreate(target.incarnation);
    if (announcement.sequence < view.poll.sequence) return done(true);
    view.poll.sequence = announcement.sequence;
    view.last_contact = now;
    if (announcement.clock) view.lease.OnClock(now, *announcement.clock);
    if (IsUnchanged(known->second, announcement)) return done(true);
  }
  const auto on_proposed = [this, announcement, done](base::TimePoint applied_at, bool applied) {
    if (applied && this->leading) {
      TargetView& view = this->targets.FindOrCreate(announcement.target.incarnation);
      view.last_contact = applied_at;
      if (announcement.clock) view.lease.OnClock(applied_at, *announcement.clock);
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
  if (contact.sequence < view->poll.sequence) return;
  view->poll.sequence = contact.sequence;
  view->last_contact = now;
  if (contact.clock) view->lease.OnClock(now, *contact.clock);
}

void RunManager::Leave(base::TimePoint /*now*/, const std::string& id,
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
  this->context.Propose(workload::RetireTarget{record.incarnation},
                        [done](base::TimePoint, bool applied) { done(applied); });
}

}  // namespace mangoroad::controller
