// What an entry VM knows of the targets of its failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"
#include "lending/messages.h"

namespace mangoroad::entry {

/// A target as it announced itself.
struct TargetInfo {
  std::string id;
  std::string address;  // ip:port of its HTTP server
  std::string failure_domain;
  std::string rack;
  jobs::Resources resources;
  lending::Amount capacity;
  std::vector<std::string> kinds;  // rows that it serves
  lending::Fence fence;
  std::string owner;           // name of the entry VM that owns its capacity
  std::string owner_identity;  // process of that entry VM
  bool leaving = false;
  lending::Amount in_use;
  base::TimePoint heard;  // when this was last confirmed, here or by the owner
};

/// Targets by id. Records of a target with an older fence never replace newer ones.
class TargetDirectory {
 public:
  /// A target that wasn't heard of for this long is dropped.
  static constexpr base::Duration kForgetAfter = std::chrono::seconds(60);

  /// True when the record was taken.
  bool Update(TargetInfo info);
  [[nodiscard]] const TargetInfo* Find(std::string_view id) const;
  [[nodiscard]] const std::map<std::string, TargetInfo, std::less<>>& All() const {
    return this->targets;
  }
  /// Drops silent targets and returns their ids.
  std::vector<std::string> DropSilent(base::TimePoint now);

 private:
  std::map<std::string, TargetInfo, std::less<>> targets;
};

/// msgpack form of records that an owner shares with the entry VMs of its failure domain.
std::string EncodeTargets(const std::vector<TargetInfo>& targets);
/// Nothing for malformed bytes or an unknown format version. `heard` is left to the receiver.
std::optional<std::vector<TargetInfo>> DecodeTargets(std::string_view bytes);

}  // namespace mangoroad::entry
