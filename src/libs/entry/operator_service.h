// Paths for operators: table, audit trail, status, targets, views and replicas.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/http_router.h"
#include "entry/node_context.h"
#include "lending/owner.h"

namespace mangoroad::entry {

class OperatorService {
 public:
  struct Sources {
    const lending::Owner& owner;
    std::function<std::string(std::uint64_t job)> explain_job;
    std::function<std::string(const std::string& request)> explain_request;
    /// Rows with live requests in progress here.
    std::function<std::vector<std::string>()> rows_in_use;
    /// What operators must send with a change; empty for none.
    std::string token;
    /// JSON array for `rows` of the status.
    std::function<std::string()> row_status;
  };

  OperatorService(NodeContext& node, Sources sources);
  ~OperatorService();
  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  void AddRoutes(HttpRouter& router);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
