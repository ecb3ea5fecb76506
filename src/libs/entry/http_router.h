// Finds the handler of a request by its method and path.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_server.h"

namespace mangoroad::entry {

/// Parts of a path that matched placeholders, in order.
using PathParameters = std::vector<std::string>;

/// Table of routes. A pattern has literal segments, `{}` for one segment and a final `{...}` for
/// the rest.
class HttpRouter {
 public:
  using Handler = std::function<void(const net::HttpExchangePtr&, const PathParameters&)>;

  /// Adds a route; without a method it takes all methods.
  void Add(std::optional<net::HttpMethod> method, std::string_view pattern, Handler handler);

  enum class Match { kFound, kUnknownPath, kWrongMethod };
  /// Calls the handler of the first route that matches.
  Match Dispatch(const net::HttpExchangePtr& exchange) const;

 private:
  struct Route {
    std::optional<net::HttpMethod> method;
    std::vector<std::string> segments;
    Handler handler;
  };
  std::vector<Route> routes;
};

}  // namespace mangoroad::entry
