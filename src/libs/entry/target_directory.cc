#include "entry/target_directory.h"

#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "wire/record_codec.h"

namespace mangoroad::entry {
namespace {

constexpr std::uint32_t kFormatVersion = 1;

using Record = std::tuple<std::string, std::string, std::string, std::string,
                          std::tuple<std::int64_t, std::int64_t, std::int64_t>,
                          std::pair<std::int32_t, std::int32_t>, std::vector<std::string>,
                          std::pair<std::uint64_t, std::uint64_t>, std::string, std::string, bool,
                          std::pair<std::int32_t, std::int32_t>>;

Record ToRecord(const TargetInfo& info) {
  return {info.id,
          info.address,
          info.failure_domain,
          info.rack,
          {info.resources.millicores, info.resources.memory_mib, info.resources.accelerators},
          {info.capacity.slots, info.capacity.connections},
          info.kinds,
          {info.fence.incarnation, info.fence.epoch},
          info.owner,
          info.owner_identity,
          info.leaving,
          {info.in_use.slots, info.in_use.connections}};
}

TargetInfo FromRecord(Record record) {
  TargetInfo info;
  std::pair<std::int32_t, std::int32_t> capacity;
  std::pair<std::int32_t, std::int32_t> in_use;
  std::pair<std::uint64_t, std::uint64_t> fence;
  std::tuple<std::int64_t, std::int64_t, std::int64_t> resources;
  std::tie(info.id, info.address, info.failure_domain, info.rack, resources, capacity, info.kinds,
           fence, info.owner, info.owner_identity, info.leaving, in_use) = std::move(record);
  info.resources = {std::get<0>(resources), std::get<1>(resources), std::get<2>(resources)};
  info.capacity = {capacity.first, capacity.second};
  info.fence = {fence.first, fence.second};
  info.in_use = {in_use.first, in_use.second};
  return info;
}

}  // namespace

bool TargetDirectory::Update(TargetInfo info) {
  TargetInfo& known = this->targets[info.id];
  if (info.fence < known.fence) return false;
  known = std::move(info);
  return true;
}

const TargetInfo* TargetDirectory::Find(std::string_view id) const {
  const auto entry = this->targets.find(id);
  return entry == this->targets.end() ? nullptr : &entry->second;
}

std::vector<std::string> TargetDirectory::DropSilent(base::TimePoint now) {
  std::vector<std::string> dropped;
  std::erase_if(this->targets, [&](const auto& entry) {
    const bool silent = now - entry.second.heard > kForgetAfter;
    if (silent) dropped.push_back(entry.first);
    return silent;
  });
  return dropped;
}

std::string EncodeTargets(const std::vector<TargetInfo>& targets) {
  std::vector<Record> records;
  records.reserve(targets.size());
  for (const TargetInfo& info : targets) records.push_back(ToRecord(info));
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::make_pair(kFormatVersion, std::move(records)));
  return {buffer.data(), buffer.size()};
}

std::optional<std::vector<TargetInfo>> DecodeTargets(std::string_view bytes) {
  auto decoded = wire::UnpackAs<std::pair<std::uint32_t, std::vector<Record>>>(bytes);
  if (!decoded || decoded->first != kFormatVersion) return std::nullopt;
  std::vector<TargetInfo> targets;
  targets.reserve(decoded->second.size());
  for (Record& record : decoded->second) targets.push_back(FromRecord(std::move(record)));
  return targets;
}

}  // namespace mangoroad::entry
