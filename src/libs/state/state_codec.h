// Encoding of commands, answers and snapshots with msgpack: arrays whose first element is a format
// version.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "state/answer_book.h"
#include "state/change.h"
#include "state/sub_state.h"
#include "state/table_history.h"
#include "state/target_state_data.h"
#include "state/view_state_data.h"

namespace mangoroad::state {

/// A command as it stands in the log.
struct Envelope {
  /// Consensus group; 0 until groups are split off.
  std::uint32_t group = 0;
  SubStateKind kind = SubStateKind::kNone;
  std::string payload;
};

struct TableSnapshot {
  std::string csv;
  std::deque<TableVersion> versions;
  std::vector<RecordedAnswer> answers;
};

struct ViewSnapshot {
  std::map<std::string, View> views;
  std::vector<RecordedAnswer> answers;
};

struct TargetSnapshot {
  std::map<std::string, TargetMark> marks;
  std::vector<RecordedAnswer> answers;
};

struct ClusterSnapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::string audit;
  std::map<SubStateKind, std::string> sub_states;
};

/// Instantiated for the types above, and for ApplyTable, ChangeView, ChangeTarget, TableAnswer and
/// ChangeAnswer. Equal values give equal bytes.
template <typename Value>
std::string Encode(const Value& value);

/// The value that Encode() wrote. Any other bytes give an error; no bytes can make it allocate much
/// more than their own size.
template <typename Value>
base::Result<Value, StateError> Decode(std::string_view bytes);

/// A command for the log.
std::string EncodeCommand(SubStateKind kind, std::string payload);
std::string EncodeCommand(const ApplyTable& change);
std::string EncodeCommand(const ChangeView& change);
std::string EncodeCommand(const ChangeTarget& change);

}  // namespace mangoroad::state
