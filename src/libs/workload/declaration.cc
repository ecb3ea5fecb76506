#include "workload/declaration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangoroad::workload {

const Queue* Declaration::Find(std::string_view host, std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

base::Result<base::Done, DeclarationError> Check(const Declaration& declaration) {
  std::set<std::string_view> services;
  for (const Service& service : declaration.services) {
    if (service.name.empty()) {
      return DeclarationError{DeclarationErrorKind::kIncomplete, "a service has no name"};
    }
    services.insert(service.name);
  }
  std::set<std::pair<std::string_view, std::string_view>> routes;
  for (const Queue& queue : declaration.queues) {
    if (queue.name.empty() || queue.host.empty() || queue.prefix.empty()) {
      return DeclarationError{DeclarationErrorKind::kIncomplete,
                              "queue '" + queue.name + "' needs a name, a host and a prefix"};
    }
    if (!services.contains(queue.service)) {
      return DeclarationError{
          DeclarationErrorKind::kUnknownService,
          "queue '" + queue.name + "' refers to unknown service '" + queue.service + "'"};
    }
    if (!routes.emplace(queue.host, queue.prefix).second) {
      return DeclarationError{
          DeclarationErrorKind::kDuplicateQueue,
          "queue '" + queue.name + "' has the same host and prefix as another queue"};
    }
    if (queue.timeout_ms <= 0) {
      return DeclarationError{DeclarationErrorKind::kNoTimeout,
                              "queue '" + queue.name + "' has no time limit"};
    }
  }
  return base::Done{};
}

}  // namespace mangoroad::workload
