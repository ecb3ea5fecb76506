#include "state/answer_book.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/soft_assert.h"

namespace mangoroad::state {
namespace {

std::size_t BytesOf(const RecordedAnswer& answer) {
  return answer.change_id.size() + answer.fingerprint.size() + answer.answer.size();
}

}  // namespace

AnswerBook::AnswerBook(std::vector<RecordedAnswer> oldest_first) {
  for (RecordedAnswer& answer : oldest_first) this->Record(std::move(answer));
}

const RecordedAnswer* AnswerBook::Find(const std::string& change_id) const {
  const auto found = this->answers.find(change_id);
  return found == this->answers.end() ? nullptr : &found->second;
}

void AnswerBook::Record(RecordedAnswer answer) {
  MANGOROAD_SOFT_ASSERT(!this->answers.contains(answer.change_id), return);
  this->bytes += BytesOf(answer);
  this->order.push_back(answer.change_id);
  this->answers.emplace(answer.change_id, std::move(answer));
  while (this->order.size() > kMaxRecordedAnswers || this->bytes > kMaxRecordedBytes) {
    const auto oldest = this->answers.find(this->order.front());
    this->bytes -= BytesOf(oldest->second);
    this->answers.erase(oldest);
    this->order.pop_front();
  }
}

std::vector<RecordedAnswer> AnswerBook::OldestFirst() const {
  std::vector<RecordedAnswer> list;
  list.reserve(this->order.size());
  std::ranges::transform(this->order, std::back_inserter(list),
                         [this](const std::string& id) { return this->answers.at(id); });
  return list;
}

}  // namespace mangoroad::state
