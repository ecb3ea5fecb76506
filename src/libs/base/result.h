// Result types: a value or the error of one layer.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace mangoroad::base {

/// Either a value or an error. Use Ok(), ValueOf() and ErrorOf() to read it.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// Value type of operations that return nothing but can fail.
using Done = std::monostate;

template <typename Value, typename Error>
bool Ok(const Result<Value, Error>& result) {
  return result.index() == 0;
}

template <typename Value, typename Error>
Value& ValueOf(Result<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
const Value& ValueOf(const Result<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
const Error& ErrorOf(const Result<Value, Error>& result) {
  return std::get<1>(result);
}

/// The error of a layer: a kind that a caller can act on, and a message that contains the offending
/// value.
template <typename Kind>
struct BasicError {
  Kind kind{};
  std::string message;
};

}  // namespace mangoroad::base
