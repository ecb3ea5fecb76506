#include "answer_check.h"

#include <nlohmann/json.hpp>

namespace mangoroad::load {

bool IsWholeAnswer(std::string_view answer, std::string_view path, std::string_view request_body) {
  const std::size_t newline = answer.find('\n');
  if (newline == std::string_view::npos) return false;
  const auto head = nlohmann::json::parse(answer.substr(0, newline), nullptr, false);
  return head.is_object() && head.contains("path") && head["path"].is_string() &&
         head["path"].get<std::string>() == path && head.contains("length") &&
         head["length"] == request_body.size() && answer.substr(newline + 1) == request_body;
}

}  // namespace mangoroad::load
