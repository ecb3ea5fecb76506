// The target's side of announcements, ownership and admission of requests (design page, 3.1 and 4).
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace mangoroad::standin {

/// What a target tells about itself.
struct Identity {
  std::string id;
  std::string address;
  std::string failure_domain;
  std::string rack;
  std::uint64_t incarnation = 1;
  double processors = 16;
  std::uint64_t memory_mib = 61440;
  std::uint32_t accelerators = 0;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  /// Kinds of work (rows) that it runs; empty means all.
  std::vector<std::string> kinds;
};

/// Answer to a request that was not run.
struct Refusal {
  int status = 503;
  std::string kind;
  std::string message;
};

/// Announcement to the entry VM with number `entry`.
struct Announcement {
  std::size_t entry = 0;
  std::uint64_t epoch = 0;
  std::string body;
};

/// Chooses one owner at a time, fences it by the epoch, and admits requests within the slots.
class TargetProtocol {
 public:
  /// An owner's right ends this long after it issued the nonce that the target returned.
  static constexpr base::Duration kOwnership = std::chrono::milliseconds(1500);
  /// 1% for clock drift plus 50 ms.
  static constexpr base::Duration kAllowance = kOwnership / 100 + std::chrono::milliseconds(50);

  TargetProtocol(Identity target, std::size_t entry_count, std::size_t first_entry);

  /// The announcement that is due, if any. While one is on its way no other is due.
  std::optional<Announcement> Tick(base::TimePoint now);
  /// Status 0 stands for no answer. Answers to announcements of an earlier epoch are ignored.
  void OnReply(base::TimePoint now, std::uint64_t epoch, int status, std::string_view body);
  /// From now on announcements say that the target is leaving.
  void Leave(base::TimePoint now);
  /// The owner has confirmed that it lends nothing; all later requests are refused.
  void OnLeft() { this->has_left = true; }

  /// Admits a request, or says why not. `fence` is the header `Mangoroad-Fence`:
  /// `<incarnation>.<epoch>`.
  std::optional<Refusal> StartRequest(std::string_view holder, std::string_view fence,
                                      std::string_view row);
  void EndRequest(std::string_view holder);
  /// Counts a connection; false when all are in use.
  bool OpenConnection(std::string_view holder);
  void CloseConnection(std::string_view holder);

  [[nodiscard]] std::size_t Entry() const { return this->entry; }
  [[nodiscard]] std::uint64_t Epoch() const { return this->epoch; }
  [[nodiscard]] std::string Fence() const;
  [[nodiscard]] std::uint32_t InProgress() const;
  [[nodiscard]] bool IsOwned() const { return this->is_owned; }
  [[nodiscard]] const Identity& Target() const { return this->identity; }

 private:
  using Counts = std::map<std::string, std::uint32_t, std::less<>>;

  [[nodiscard]] std::string Body() const;
  void ChangeOwner();

  Identity identity;
  std::size_t entries;
  std::size_t entry;
  std::uint64_t epoch = 1;
  std::uint64_t nonce = 0;
  std::optional<base::TimePoint> nonce_received;
  base::TimePoint next_announcement{};
  /// No announcement is sent before; set at a change of owner.
  base::TimePoint quiet_until{};
  bool is_waiting = false;
  bool is_owned = false;
  bool is_leaving = false;
  bool has_left = false;
  int answers_without_ownership = 0;
  Counts in_progress;
  Counts open_connections;
};

}  // namespace mangoroad::standin
