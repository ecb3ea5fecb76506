#include "controller/identity.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "storage/replace_file.h"

namespace mangoroad::controller {
namespace {

constexpr const char* kFileName = "identity";

entry::EntryError BadDisk(const storage::StorageError& error) {
  return {entry::EntryErrorKind::kBadData, error.message};
}

/// Format: the identity on the first line, one first voter on each further line.
Identity ParseIdentity(const std::string& text) {
  Identity identity;
  std::istringstream lines(text);
  std::getline(lines, identity.id);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty()) identity.first_voters.push_back(line);
  }
  return identity;
}

}  // namespace

base::Result<Identity, entry::EntryError> LoadIdentity(
    storage::FileSystem& files, const std::string& folder, const std::string& address,
    bool is_first_start, const std::vector<consensus::ReplicaId>& first_voters,
    std::uint64_t random_bits) {
  if (const auto made = files.CreateFolder(folder); !base::Ok(made)) {
    return BadDisk(base::ErrorOf(made));
  }
  const auto names = files.List(folder);
  if (!base::Ok(names)) return BadDisk(base::ErrorOf(names));
  const std::string path = folder + "/" + kFileName;
  if (std::ranges::find(base::ValueOf(names), kFileName) != base::ValueOf(names).end()) {
    const auto found = files.Read(path);
    if (!base::Ok(found)) return BadDisk(base::ErrorOf(found));
    Identity identity = ParseIdentity(base::ValueOf(found));
    if (AddressOf(identity.id) == address) return identity;
  }
  Identity identity;
  if (is_first_start) {
    identity = {address, first_voters};
  } else {
    identity.id = fmt::format("{}/{:016x}", address, random_bits);
  }
  const std::string text =
      fmt::format("{}\n{}\n", identity.id, fmt::join(identity.first_voters, "\n"));
  if (const auto written = storage::ReplaceFile(files, folder, kFileName, text);
      !base::Ok(written)) {
    return BadDisk(base::ErrorOf(written));
  }
  return identity;
}

std::string AddressOf(const consensus::ReplicaId& id) { return id.substr(0, id.find('/')); }

std::string IpOf(std::string_view address) {
  return std::string(address.substr(0, address.find(':')));
}

}  // namespace mangoroad::controller
