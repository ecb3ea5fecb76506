// Table of all options: one entry gives the flag, help, default and conversions of one setting.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace mangoroad::settings::internal {

/// One option. `read` stores one value, or returns why it is refused. `write` gives the values in
/// the form that `read` accepts.
struct Option {
  std::string_view flag;
  std::string_view group;
  std::string_view type;
  std::string_view help;
  bool is_repeated = false;
  std::string (*read)(Settings& settings, const std::string& text) = nullptr;
  std::vector<std::string> (*write)(const Settings& settings) = nullptr;
};

std::span<const Option> AllOptions();

/// Faults of settings that are each valid alone but don't go together.
std::vector<std::string> CheckTogether(const Settings& settings);

}  // namespace mangoroad::settings::internal
