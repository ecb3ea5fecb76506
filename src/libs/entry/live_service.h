// Live requests of callers: admission, the choice of a target, and the whole answer back.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "entry/http_router.h"
#include "entry/node_context.h"
#include "lending/holder.h"

namespace mangoroad::entry {

class LiveService {
 public:
  LiveService(NodeContext& node, lending::Holder& holder);
  ~LiveService();
  LiveService(const LiveService&) = delete;
  LiveService& operator=(const LiveService&) = delete;

  void AddRoutes(HttpRouter& router);
  void Tick();

  [[nodiscard]] std::size_t InProgress() const;
  [[nodiscard]] std::vector<std::string> RowsInUse() const;
  /// JSON array with the figures of each row.
  [[nodiscard]] std::string RowStatus() const;
  /// JSON of a recent request, or empty.
  [[nodiscard]] std::string Explain(const std::string& request) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
