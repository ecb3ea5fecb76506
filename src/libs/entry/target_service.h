// Announcements of targets and the lending of their capacity.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "entry/http_router.h"
#include "entry/node_context.h"
#include "lending/holder.h"
#include "lending/owner.h"

namespace mangoroad::entry {

/// Owns the targets that announce themselves here, and borrows from the other owners of the failure
/// domain.
class TargetService {
 public:
  explicit TargetService(NodeContext& node);
  ~TargetService();
  TargetService(const TargetService&) = delete;
  TargetService& operator=(const TargetService&) = delete;

  void AddRoutes(HttpRouter& router);
  void Tick();
  /// Messages between owners and holders, and records of targets.
  void OnBorrow(std::string_view peer, std::string_view payload);
  void OnLend(std::string_view payload);
  void OnTargets(std::string_view peer, std::string_view payload);

  [[nodiscard]] lending::Holder& Holder();
  [[nodiscard]] const lending::Owner& Owner() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
