#include "workload/workload_codec.h"

#include "wire/record_codec.h"

namespace mangoroad::workload {

std::string EncodeCommand(const Command& command) { return wire::EncodeRecord(command); }

std::optional<Command> DecodeCommand(std::string_view bytes) {
  return wire::DecodeRecord<Command>(bytes);
}

std::string EncodeOutcome(Outcome outcome) {
  return std::string(1, static_cast<char>('0' + static_cast<int>(outcome)));
}

Outcome DecodeOutcome(std::string_view bytes) {
  if (bytes.size() != 1 || bytes[0] < '0' || bytes[0] > '3') return Outcome::kMalformed;
  return static_cast<Outcome>(bytes[0] - '0');
}

}  // namespace mangoroad::workload
