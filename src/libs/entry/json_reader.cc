#include "entry/json_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace mangoroad::entry {

bool IsNestedTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

struct JsonReader::Private {
  nlohmann::json object;
  UnknownFields unknown = UnknownFields::kRefuse;
  std::set<std::string, std::less<>> read;
  std::vector<std::string> faults;

  /// The value of a field, or null with a fault when a required one is missing.
  const nlohmann::json* Take(std::string_view name, Presence presence) {
    this->read.emplace(name);
    if (!this->object.is_object()) return nullptr;
    const auto entry = this->object.find(std::string(name));
    if (entry != this->object.end()) return &*entry;
    if (presence == Presence::kRequired) {
      this->faults.push_back(fmt::format("field '{}' is missing", name));
    }
    return nullptr;
  }

  void Fault(std::string_view name, std::string_view expected, const nlohmann::json& value) {
    std::string shown = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (shown.size() > 40) shown = shown.substr(0, 40) + "...";
    this->faults.push_back(fmt::format("field '{}' must be {}, not {}", name, expected, shown));
  }
};

JsonReader::JsonReader() : d(std::make_unique<Private>()) {}

JsonReader::JsonReader(std::string_view text, UnknownFields unknown) : JsonReader() {
  this->d->unknown = unknown;
  if (IsNestedTooDeeply(text)) {
    this->d->faults.emplace_back("the body is nested too deeply");
    return;
  }
  this->d->object = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (this->d->object.is_discarded()) {
    this->d->faults.emplace_back("the body isn't valid JSON");
  } else if (!this->d->object.is_object()) {
    this->d->faults.emplace_back("the body must be a JSON object");
  }
}

JsonReader::~JsonReader() = default;
JsonReader::JsonReader(JsonReader&&) noexcept = default;
JsonReader& JsonReader::operator=(JsonReader&&) noexcept = default;

std::string JsonReader::Text(std::string_view name, Presence presence, std::size_t max_size,
                             std::string_view fallback) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return std::string(fallback);
  if (!value->is_string() || value->get_ref<const std::string&>().size() > max_size) {
    this->d->Fault(name, fmt::format("a text of at most {} bytes", max_size), *value);
    return std::string(fallback);
  }
  return value->get<std::string>();
}

std::int64_t JsonReader::Integer(std::string_view name, Presence presence, std::int64_t low,
                                 std::int64_t high, std::int64_t fallback) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return fallback;
  const bool fits = value->is_number_integer() &&
                    (!value->is_number_unsigned() ||
                     value->get<std::uint64_t>() <=
                         static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
  if (!fits || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
    this->d->Fault(name, fmt::format("an integer from {} to {}", low, high), *value);
    return fallback;
  }
  return value->get<std::int64_t>();
}

std::uint64_t JsonReader::Unsigned(std::string_view name, Presence presence) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return 0;
  if (!value->is_number_unsigned()) {
    this->d->Fault(name, "an unsigned integer", *value);
    return 0;
  }
  return value->get<std::uint64_t>();
}

double JsonReader::Number(std::string_view name, Presence presence, double low, double high,
                          double fallback) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return fallback;
  if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
    this->d->Fault(name, fmt::format("a number from {} to {}", low, high), *value);
    return fallback;
  }
  return value->get<double>();
}

bool JsonReader::Flag(std::string_view name, Presence presence, bool fallback) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) {
    this->d->Fault(name, "true or false", *value);
    return fallback;
  }
  return value->get<bool>();
}

std::vector<std::string> JsonReader::Texts(std::string_view name, Presence presence) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return {};
  const bool fits = value->is_array() &&
                    std::ranges::all_of(*value, [](const auto& item) { return item.is_string(); });
  if (!fits) {
    this->d->Fault(name, "an array of texts", *value);
    return {};
  }
  return value->get<std::vector<std::string>>();
}

std::vector<std::int64_t> JsonReader::Integers(std::string_view name, Presence presence,
                                               std::int64_t low, std::int64_t high) {
  const nlohmann::json* value = this->d->Take(name, presence);
  if (value == nullptr) return {};
  const bool fits = value->is_array() && std::ranges::all_of(*value, [&](const auto& item) {
                      return item.is_number_integer() && item.template get<std::int64_t>() >= low &&
                             item.template get<std::int64_t>() <= high;
                    });
  if (!fits) {
    this->d->Fault(name, fmt::format("an array of integers from {} to {}", low, high), *value);
    return {};
  }
  return value->get<std::vector<std::int64_t>>();
}

JsonReader JsonReader::Object(std::string_view name, Presence presence) {
  const nlohmann::json* value = this->d->Take(name, presence);
  JsonReader reader;
  reader.d->unknown = this->d->unknown;
  reader.d->object = nlohmann::json::object();
  if (value == nullptr) return reader;
  if (!value->is_object()) {
    this->d->Fault(name, "an object", *value);
    return reader;
  }
  reader.d->object = *value;
  return reader;
}

std::vector<JsonReader> JsonReader::Objects(std::string_view name, Presence presence) {
  const nlohmann::json* value = this->d->Take(name, presence);
  std::vector<JsonReader> readers;
  if (value == nullptr) return readers;
  const bool fits = value->is_array() &&
                    std::ranges::all_of(*value, [](const auto& item) { return item.is_object(); });
  if (!fits) {
    this->d->Fault(name, "an array of objects", *value);
    return readers;
  }
  for (const nlohmann::json& item : *value) {
    readers.push_back(JsonReader());
    readers.back().d->object = item;
    readers.back().d->unknown = this->d->unknown;
  }
  return readers;
}

std::vector<std::pair<std::string, std::int64_t>> JsonReader::IntegerMap(std::string_view name,
                                                                         Presence presence) {
  const nlohmann::json* value = this->d->Take(name, presence);
  std::vector<std::pair<std::string, std::int64_t>> entries;
  if (value == nullptr) return entries;
  const bool fits = value->is_object() && std::ranges::all_of(*value, [](const auto& item) {
                      return item.is_number_integer();
                    });
  if (!fits) {
    this->d->Fault(name, "an object of integers", *value);
    return entries;
  }
  for (const auto& [key, item] : value->items()) entries.emplace_back(key, item);
  return entries;
}

void JsonReader::Absorb(const JsonReader& nested) {
  if (std::string fault = nested.Fault(); !fault.empty()) {
    this->d->faults.push_back(std::move(fault));
  }
}

std::string JsonReader::Fault() const {
  std::vector<std::string> faults = this->d->faults;
  if (this->d->object.is_object() && this->d->unknown == UnknownFields::kRefuse) {
    for (const auto& [name, value] : this->d->object.items()) {
      if (!this->d->read.contains(name)) {
        faults.push_back(fmt::format("field '{}' is unknown", name.substr(0, 64)));
      }
    }
  }
  return fmt::format("{}", fmt::join(faults, "; "));
}

}  // namespace mangoroad::entry
