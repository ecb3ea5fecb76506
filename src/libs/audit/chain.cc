#include "audit/chain.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "audit/digest.h"

namespace mangoroad::audit {
namespace {

using Json = nlohmann::ordered_json;

Json ToJsonWithoutHash(const Record& record) {
  const Event& event = record.event;
  return Json{{"number", record.number},
              {"index", event.index},
              {"time_ms", event.time_ms},
              {"author", event.author},
              {"action", event.action},
              {"subject", event.subject},
              {"rows", event.rows},
              {"result", base::NameOf(kChangeResultNames, event.result)},
              {"reason", event.reason},
              {"before", event.before},
              {"after", event.after},
              {"effect", event.effect},
              {"previous_hash", record.previous_hash}};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Adds the last field to a line without it.
void AddHash(const std::string& hash, std::string& line) {
  line.pop_back();
  line += R"(,"hash":)" + Dump(hash) + '}';
}

/// Reads the fields of one JSON object; a missing field or one of another type makes it invalid.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : json(object) {}

  void Read(const char* name, std::string& value) { this->ReadAs(name, value, &Json::is_string); }
  void Read(const char* name, std::uint64_t& value) {
    this->ReadAs(name, value, &Json::is_number_unsigned);
  }
  void Read(const char* name, base::WallMilliseconds& value) {
    this->ReadAs(name, value, &Json::is_number_integer);
  }
  void Read(const char* name, std::vector<std::string>& value) {
    const Json* field = this->Find(name, &Json::is_array);
    if (field == nullptr) return;
    this->valid = this->valid && std::ranges::all_of(*field, &Json::is_string);
    if (this->valid) value = field->get<std::vector<std::string>>();
  }
  bool IsValid() const { return this->valid; }

 private:
  using Check = bool (Json::*)() const noexcept;

  const Json* Find(const char* name, Check check) {
    const auto field = this->json.find(name);
    this->valid = this->valid && field != this->json.end() && ((*field).*check)();
    return this->valid ? &*field : nullptr;
  }

  template <typename Value>
  void ReadAs(const char* name, Value& value, Check check) {
    if (const Json* field = this->Find(name, check)) value = field->get<Value>();
  }

  const Json& json;
  bool valid = true;
};

}  // namespace

std::string HashOf(const Record& record) { return Sha256Hex(Dump(ToJsonWithoutHash(record))); }

std::size_t Seal(Record& record) {
  std::string line = Dump(ToJsonWithoutHash(record));
  record.hash = Sha256Hex(line);
  AddHash(record.hash, line);
  return line.size();
}

std::string ToJsonLine(const Record& record) {
  std::string line = Dump(ToJsonWithoutHash(record));
  AddHash(record.hash, line);
  return line;
}

std::optional<Record> FromJsonLine(std::string_view line) {
  const Json json = Json::parse(line, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  Record record;
  Event& event = record.event;
  std::string result;
  FieldReader reader(json);
  reader.Read("number", record.number);
  reader.Read("index", event.index);
  reader.Read("time_ms", event.time_ms);
  reader.Read("author", event.author);
  reader.Read("action", event.action);
  reader.Read("subject", event.subject);
  reader.Read("rows", event.rows);
  reader.Read("result", result);
  reader.Read("reason", event.reason);
  reader.Read("before", event.before);
  reader.Read("after", event.after);
  reader.Read("effect", event.effect);
  reader.Read("previous_hash", record.previous_hash);
  reader.Read("hash", record.hash);
  const auto known = base::ValueOfName(kChangeResultNames, result);
  if (!reader.IsValid() || !known) return std::nullopt;
  event.result = *known;
  // Any other spelling, order or further field could hide a change of the line.
  if (ToJsonLine(record) != line) return std::nullopt;
  return record;
}

std::optional<ChainFault> ChainVerifier::Check(const Record& record) const {
  const bool is_first = this->summary.records == 0;
  const std::uint64_t expected = is_first ? record.number : this->summary.last_number + 1;
  const auto fault = [&](std::string message) {
    return ChainFault{this->lines, expected, std::move(message)};
  };
  if (record.number != expected) {
    return fault(
        fmt::format("record {} found where record {} is expected", record.number, expected));
  }
  if (record.number == 0) return fault("record number 0; the first record has number 1");
  const std::string hash = HashOf(record);
  if (record.hash != hash) {
    return fault(fmt::format("record {} was changed: its content has hash {}, but it names {}",
                             record.number, hash, record.hash));
  }
  const bool is_chained = is_first ? record.number != 1 || record.previous_hash == kNoHash
                                   : record.previous_hash == this->summary.head;
  if (!is_chained) {
    return fault(
        fmt::format("record {} doesn't follow the record before it: it names hash {}, but "
                    "that record has {}",
                    record.number, record.previous_hash,
                    is_first ? kNoHash : std::string_view(this->summary.head)));
  }
  return std::nullopt;
}

std::optional<ChainFault> ChainVerifier::AddLine(std::string_view line) {
  ++this->lines;
  std::optional<Record> record = FromJsonLine(line);
  if (!record) {
    const std::uint64_t expected = this->summary.records == 0 ? 0 : this->summary.last_number + 1;
    return ChainFault{this->lines, expected, "the line is not an audit record in canonical form"};
  }
  if (auto fault = this->Check(*record)) return fault;
  if (this->summary.records++ == 0) {
    this->summary.first_number = record->number;
    this->summary.previous_hash = record->previous_hash;
  }
  this->summary.last_number = record->number;
  this->summary.head = record->hash;
  this->last = *std::move(record);
  return std::nullopt;
}

base::Result<ChainSummary, ChainFault> VerifyJsonLines(std::string_view text) {
  ChainVerifier verifier;
  const std::size_t last = text.find_last_not_of('\n');
  text = text.substr(0, last == std::string_view::npos ? 0 : last + 1);
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    if (auto fault = verifier.AddLine(text.substr(0, end))) return *std::move(fault);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return verifier.Summary();
}

}  // namespace mangoroad::audit
