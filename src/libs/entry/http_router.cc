#include "entry/http_router.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <ranges>
#include <utility>

namespace mangoroad::entry {
namespace {

constexpr std::string_view kOne = "{}";
constexpr std::string_view kRest = "{...}";

std::vector<std::string> Split(std::string_view path) {
  std::vector<std::string> segments;
  for (const auto part : std::views::split(path, '/')) {
    segments.emplace_back(part.begin(), part.end());
  }
  if (!segments.empty() && segments.front().empty()) segments.erase(segments.begin());
  return segments;
}

std::string Decode(const std::string& segment) {
  std::size_t size = 0;
  const std::unique_ptr<char, decltype(&std::free)> decoded(
      evhttp_uridecode(segment.c_str(), 0, &size), &std::free);
  return decoded == nullptr ? segment : std::string(decoded.get(), size);
}

std::string JoinFrom(const std::vector<std::string>& segments, std::size_t first) {
  std::string joined;
  for (std::size_t i = first; i < segments.size(); ++i) joined += "/" + segments[i];
  return joined;
}

std::optional<PathParameters> MatchSegments(const std::vector<std::string>& pattern,
                                            const std::vector<std::string>& path) {
  PathParameters parameters;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == kRest) {
      parameters.push_back(JoinFrom(path, i));
      return parameters;
    }
    if (i >= path.size()) return std::nullopt;
    if (pattern[i] == kOne) {
      if (path[i].empty()) return std::nullopt;
      parameters.push_back(Decode(path[i]));
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  if (path.size() != pattern.size()) return std::nullopt;
  return parameters;
}

}  // namespace

void HttpRouter::Add(std::optional<net::HttpMethod> method, std::string_view pattern,
                     Handler handler) {
  this->routes.push_back({method, Split(pattern), std::move(handler)});
}

HttpRouter::Match HttpRouter::Dispatch(const net::HttpExchangePtr& exchange) const {
  const std::vector<std::string> path = Split(exchange->path);
  bool path_known = false;
  for (const Route& route : this->routes) {
    const auto parameters = MatchSegments(route.segments, path);
    if (!parameters) continue;
    path_known = true;
    if (route.method && *route.method != exchange->method) continue;
    route.handler(exchange, *parameters);
    return Match::kFound;
  }
  return path_known ? Match::kWrongMethod : Match::kUnknownPath;
}

}  // namespace mangoroad::entry
