#include "consensus/progress.h"

#include <algorithm>

namespace mangoroad::consensus::internal {

void Progress::Restart(std::uint64_t new_incarnation, Index next_index) {
  this->incarnation = new_incarnation;
  this->match = 0;
  this->sent_commit = 0;
  this->catch_up_round.reset();
  this->last_round_was_short = false;
  this->BecomeProbe(next_index);
}

void Progress::BecomeProbe(Index next_index) {
  this->state = ProgressState::kProbe;
  this->next = std::max(next_index, this->match + 1);
  this->paused = false;
  this->inflight.clear();
  this->inflight_bytes = 0;
  this->snapshot.reset();
}

void Progress::BecomeSnapshot(std::shared_ptr<const Snapshot> to_send) {
  this->BecomeProbe(this->next);
  this->state = ProgressState::kSnapshot;
  this->snapshot = std::move(to_send);
  this->snapshot_offset = 0;
  this->chunk_sent.reset();
}

void Progress::OnSent(Index last, std::size_t bytes) {
  this->next = last + 1;
  this->inflight.emplace_back(last, bytes);
  this->inflight_bytes += bytes;
}

void Progress::OnAccepted(Index index, bool is_durable) {
  this->durable = is_durable;
  this->match = std::max(this->match, index);
  if (is_durable) this->durable_match = std::max(this->durable_match, index);
  if (this->state == ProgressState::kSnapshot) {
    if (this->match >= this->snapshot->index) this->BecomeProbe(this->match + 1);
    return;
  }
  if (this->state == ProgressState::kProbe) {
    this->BecomeProbe(this->match + 1);
    this->state = ProgressState::kReplicate;
  }
  this->next = std::max(this->next, this->match + 1);
  while (!this->inflight.empty() && this->inflight.front().first <= this->match) {
    this->inflight_bytes -= this->inflight.front().second;
    this->inflight.pop_front();
  }
}

void Progress::UpdateCatchUp(base::TimePoint now, Index last, base::Duration max_round) {
  if (this->catch_up_round) {
    if (this->durable_match < this->catch_up_round->target) return;
    this->last_round_was_short = now - this->catch_up_round->start <= max_round;
  }
  this->catch_up_round = CatchUpRound{now, last};
}

bool Progress::IsCaughtUp(base::TimePoint now, base::Duration max_round) const {
  return this->catch_up_round && this->last_round_was_short &&
         now - this->catch_up_round->start <= max_round;
}

}  // namespace mangoroad::consensus::internal
