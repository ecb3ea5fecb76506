#include "settings/settings.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <iterator>

#include "settings/options.h"

namespace mangoroad::settings {
namespace {

using internal::AllOptions;
using internal::Option;

constexpr const char* kVersion = "mangoroadd 0.1.0";
constexpr const char* kFooter =
    "Each flag can also be set by the environment variable shown; a flag given goes first.\n"
    "Repeated values are separated by commas in a variable.\n"
    "Exit codes: 0 success, 1 failure at run time, 2 bad settings, 3 can't listen on an address,\n"
    "4 the data folder is unusable or damaged.";

std::string EnvironmentName(std::string_view flag) {
  std::string name = "MANGOROAD_";
  std::ranges::transform(flag, std::back_inserter(name), [](char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  });
  return name;
}

// CLI11 stops at the first bad value, so it only collects texts; the options' own readers check
// them afterwards and all faults are reported together.
struct Collected {
  std::vector<std::vector<std::string>> values{AllOptions().size()};
  bool is_print_wanted = false;
};

void AddOptions(CLI::App& app, Collected& collected) {
  const Settings defaults;
  for (std::size_t i = 0; i < AllOptions().size(); ++i) {
    const Option& option = AllOptions()[i];
    auto* added = app.add_option(fmt::format("--{}", option.flag), collected.values[i],
                                 std::string(option.help));
    added->group(std::string(option.group))->envname(EnvironmentName(option.flag));
    added->type_name(std::string(option.type))->type_size(1)->allow_extra_args(false);
    if (option.is_repeated) {
      added->delimiter(',')->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    } else {
      added->expected(1)->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    }
    const auto texts = option.write(defaults);
    if (texts.size() == 1 && !texts[0].empty()) added->default_str(texts[0]);
  }
  app.add_flag("--print-settings", collected.is_print_wanted,
               "Print the settings in force and exit");
}

std::vector<std::string> ReadAll(const Collected& collected, Settings& settings) {
  std::vector<std::string> faults;
  for (std::size_t i = 0; i < AllOptions().size(); ++i) {
    const Option& option = AllOptions()[i];
    if (!option.is_repeated && collected.values[i].size() > 1) {
      faults.push_back(
          fmt::format("--{}: given {} times", option.flag, collected.values[i].size()));
      continue;
    }
    for (const std::string& text : collected.values[i]) {
      const std::string fault = option.read(settings, text);
      if (!fault.empty()) faults.push_back(fmt::format("--{}: {}", option.flag, fault));
    }
  }
  return faults;
}

Stop FaultsStop(const std::vector<std::string>& faults) {
  std::string text;
  for (const std::string& fault : faults) text += fault + "\n";
  return {ExitCode::kBadSettings, text + "See --help.\n"};
}

}  // namespace

base::Result<Settings, Stop> Parse(int argc, const char* const* argv) {
  CLI::App app("Entry VM of mangoroad: routes live requests and schedules batch jobs.",
               "mangoroadd");
  Collected collected;
  AddOptions(app, collected);
  app.set_version_flag("--version", kVersion, "Print the version and exit");
  app.footer(kFooter);
  app.allow_extras();
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    return Stop{ExitCode::kSuccess, app.help()};
  } catch (const CLI::CallForVersion&) {
    return Stop{ExitCode::kSuccess, std::string(kVersion) + "\n"};
  } catch (const CLI::ParseError& error) {
    return FaultsStop({error.what()});
  }
  Settings settings;
  std::vector<std::string> faults;
  for (const std::string& extra : app.remaining()) {
    faults.push_back(fmt::format("unknown argument '{}'", extra));
  }
  std::ranges::move(ReadAll(collected, settings), std::back_inserter(faults));
  std::ranges::move(internal::CheckTogether(settings), std::back_inserter(faults));
  if (!faults.empty()) return FaultsStop(faults);
  if (collected.is_print_wanted) return Stop{ExitCode::kSuccess, Print(settings)};
  return settings;
}

std::string Print(const Settings& settings) {
  std::string text;
  for (const Option& option : AllOptions()) {
    for (const std::string& value : option.write(settings)) {
      fmt::format_to(std::back_inserter(text), "{} = {}\n", option.flag, value);
    }
  }
  return text;
}

}  // namespace mangoroad::settings
