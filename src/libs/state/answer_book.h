// Recorded answers to changes, so that a resent change gets its first answer.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangoroad::state {

/// Bounds of the recorded answers; the oldest are forgotten first. At 18,000 changes a day, 20,000
/// answers cover resending for a day. The bound in bytes matters only when answers list many
/// problems.
constexpr std::size_t kMaxRecordedAnswers = 20'000;
constexpr std::size_t kMaxRecordedBytes = std::size_t{32} * 1024 * 1024;

struct RecordedAnswer {
  std::string change_id;
  /// Digest of the change without what differs between sendings.
  std::string fingerprint;
  /// Encoded answer.
  std::string answer;
};

/// Answers by change id, in order of recording.
class AnswerBook {
 public:
  AnswerBook() = default;
  explicit AnswerBook(std::vector<RecordedAnswer> oldest_first);

  /// The answer recorded for a change id, or nullptr.
  const RecordedAnswer* Find(const std::string& change_id) const;
  /// Records the first answer to a change id that has none.
  void Record(RecordedAnswer answer);
  std::vector<RecordedAnswer> OldestFirst() const;

 private:
  std::map<std::string, RecordedAnswer> answers;
  std::deque<std::string> order;
  std::size_t bytes = 0;
};

}  // namespace mangoroad::state
