// Jobs: submission and queries on each entry VM, and scheduling and leases on the leader.
#pragma once

#include <memory>
#include <string_view>

#include "entry/http_router.h"
#include "entry/node_context.h"

namespace mangoroad::entry {

class JobService {
 public:
  explicit JobService(NodeContext& node);
  ~JobService();
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  void AddRoutes(HttpRouter& router);
  void Tick();
  /// The log applied a command of the job book, or any other command.
  void OnApplied(std::string_view command, std::string_view answer);
  void OnRestored();
  /// A report that another entry VM received, and the reply to one that was sent to the leader.
  void OnTargetReport(std::string_view peer, std::string_view payload);
  void OnTargetReply(std::string_view payload);
  /// Records of targets that another entry VM owns.
  void OnTargets(std::string_view payload);

  /// Why a job waits or where it runs, when this is the leader.
  [[nodiscard]] std::string Explain(std::uint64_t job) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
