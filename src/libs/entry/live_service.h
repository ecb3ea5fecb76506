// Live requests of callers: admission and routing, relays between failure domains, and the whole
// answer back.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "entry/http_router.h"
#include "entry/key_service.h"
#include "entry/node_context.h"
#include "lending/holder.h"

namespace mangoroad::entry {

class LiveService {
 public:
  LiveService(NodeContext& node, lending::Holder& holder, KeyService& keys);
  ~LiveService();
  LiveService(const LiveService&) = delete;
  LiveService& operator=(const LiveService&) = delete;

  void AddRoutes(HttpRouter& router);
  void Tick();
  /// A request that another entry VM relayed here, and parts of the answer to one relayed from
  /// here.
  void OnRelay(const std::string& peer, std::string_view payload);
  void OnRelayed(const std::string& peer, std::string_view payload);
  /// The link to an entry VM ended: answers to what was relayed there can't arrive any more.
  void OnPeerLost(const std::string& peer);

  [[nodiscard]] std::size_t Waiting() const;
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
