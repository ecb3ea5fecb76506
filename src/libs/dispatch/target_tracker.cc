#include "dispatch/target_tracker.h"

#include <algorithm>
#include <utility>

namespace mangoroad::dispatch {

namespace {

FormerIncarnation FormerOf(const TargetView& view) {
  FormerIncarnation former{view.incarnation, view.lease.SafeExpiry(), {}, {}};
  for (const auto& [task, run] : view.runs) {
    const bool is_sent = run.start_request != StartRequestState::kToSend;
    const bool is_uncertain = run.is_in_doubt || (is_sent && !run.is_listed);
    former.runs.emplace(task, FormerRun{.run = run.run, .is_uncertain = is_uncertain});
  }
  return former;
}

}  // namespace

void TargetTracker::Reset(base::TimePoint now) {
  this->views.clear();
  this->term_start = now;
}

TargetView& TargetTracker::FindOrCreate(const TargetIncarnation& incarnation) {
  const auto found = this->views.find(incarnation.id);
  if (found != this->views.end() && found->second.incarnation.number >= incarnation.number) {
    return found->second;
  }
  TargetView view(incarnation, this->lease_durations, this->term_start);
  if (found != this->views.end()) {
    view.former = std::move(found->second.former);
    if (!found->second.runs.empty()) view.former.push_back(FormerOf(found->second));
    this->views.erase(found);
  }
  return this->views.emplace(incarnation.id, std::move(view)).first->second;
}

void TargetTracker::Erase(const TargetIncarnation& incarnation) {
  const auto found = this->views.find(incarnation.id);
  if (found != this->views.end() && found->second.incarnation == incarnation) {
    this->views.erase(found);
  }
}

const TargetView* TargetTracker::Find(const std::string& id) const {
  const auto found = this->views.find(id);
  return found == this->views.end() ? nullptr : &found->second;
}

TargetView* TargetTracker::Find(const std::string& id) {
  const auto found = this->views.find(id);
  return found == this->views.end() ? nullptr : &found->second;
}

void TargetTracker::OnRunEnded(TargetView& view, workload::RunEnd how, base::TimePoint now) {
  if (how == workload::RunEnd::kDone) {
    view.consecutive_failures = 0;
  } else if (how == workload::RunEnd::kFailed) {
    view.consecutive_failures += 1;
    if (view.consecutive_failures >= this->health.max_consecutive_failures) {
      view.avoid_until = std::max(view.avoid_until, now + this->health.avoid_after_failures);
    }
  }
}

void TargetTracker::OnRefused(TargetView& view, base::TimePoint now) {
  view.avoid_until = std::max(view.avoid_until, now + this->health.avoid_after_refusal);
}

void TargetTracker::OnStalled(TargetView& view, base::TimePoint now) {
  view.avoid_until = std::max(view.avoid_until, now + this->health.avoid_after_stall);
}

bool TargetTracker::IsUsable(const TargetView& view, base::TimePoint now) const {
  return view.is_fenced && !view.replaced_at && view.unanswered_requests == 0 &&
         now >= view.avoid_until && now - view.last_contact < this->health.silence_timeout;
}

}  // namespace mangoroad::dispatch
