// Verification of a hash chain of audit records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "audit/record.h"
#include "base/result.h"

namespace mangoroad::audit {

/// The first broken record of a chain.
struct ChainFault {
  /// Line of the file, from 1.
  std::size_t line = 0;
  /// Number of the record that was expected there; 0 when that isn't known.
  std::uint64_t number = 0;
  std::string message;
};

/// What is known of a chain whose records were all found intact.
struct ChainSummary {
  std::uint64_t records = 0;
  /// 0 when there are no records.
  std::uint64_t first_number = 0;
  std::uint64_t last_number = 0;
  /// Hash that the first record names for the one before it; kNoHash when it is the first of all.
  std::string previous_hash{kNoHash};
  /// Hash of the last record; a chain that was cut at its end shows only by comparing this with the
  /// head that an entry VM gives.
  std::string head{kNoHash};
};

/// Verifies the lines of a JSON-lines file one at a time. Keeps no lines, so files of any size can
/// be verified. The first record may have any number, since old files can be put away.
class ChainVerifier {
 public:
  /// The fault of this line, or nothing. After a fault, no more lines may be added.
  std::optional<ChainFault> AddLine(std::string_view line);
  const ChainSummary& Summary() const { return this->summary; }
  /// The record of the last line without a fault.
  const Record& Last() const { return this->last; }

 private:
  std::optional<ChainFault> Check(const Record& record) const;

  std::size_t lines = 0;
  ChainSummary summary;
  Record last;
};

/// Verifies a whole text; empty lines at its end are ignored.
base::Result<ChainSummary, ChainFault> VerifyJsonLines(std::string_view text);

}  // namespace mangoroad::audit
