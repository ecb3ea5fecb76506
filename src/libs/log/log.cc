#include "log/log.h"

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "base/soft_assert.h"
#include "log/bounded_output.h"
#include "log/log_line.h"

namespace mangoroad::log {
namespace {

using Levels = std::array<Level, kCategoryNames.size()>;

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";
constexpr const char* kJsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","category":"%n",%v})";

/// Lines that may wait for a reader of standard output.
constexpr std::size_t kMaxWaitingBytes = 256U << 10U;

/// Hands formatted lines to a bounded output.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  // NOLINTBEGIN(readability-identifier-naming): names of the base class
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    this->formatter_->format(message, line);
    this->output.Append({line.data(), line.size()});
  }
  void flush_() override { this->output.Write(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  internal::BoundedOutput output{STDOUT_FILENO, kMaxWaitingBytes};
};

LogError BadLevel(std::string message) { return {LogErrorKind::kBadLevel, std::move(message)}; }

base::Result<Levels, LogError> ParseLevels(std::string_view text) {
  std::array<std::optional<Level>, kCategoryNames.size()> own;
  std::optional<Level> others;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const std::size_t equals = item.find('=');
    const bool is_own = equals != std::string_view::npos;
    const std::string_view level_name = is_own ? item.substr(equals + 1) : item;
    const std::optional<Level> level = base::ValueOfName(kLevelNames, level_name);
    if (!level) {
      return BadLevel(fmt::format("unknown level '{}' (trace, debug, info, warning, error or off)",
                                  level_name));
    }
    if (is_own) {
      const auto category = base::ValueOfName(kCategoryNames, item.substr(0, equals));
      if (!category) {
        return BadLevel(fmt::format("unknown log category '{}'", item.substr(0, equals)));
      }
      own[static_cast<std::size_t>(*category)] = level;
    } else if (others) {
      return BadLevel(fmt::format("second level '{}' for all other categories", item));
    } else {
      others = level;
    }
  }
  Levels levels{};
  std::ranges::transform(own, levels.begin(), [others](std::optional<Level> level) {
    return level.value_or(others.value_or(Level::kInfo));
  });
  return levels;
}

spdlog::level::level_enum ToSpdlog(Level level) {
  static constexpr std::array<spdlog::level::level_enum, kLevelNames.size()> kLevels{
      spdlog::level::trace, spdlog::level::debug, spdlog::level::info,
      spdlog::level::warn,  spdlog::level::err,   spdlog::level::off};
  return kLevels[static_cast<std::size_t>(level)];
}

std::unique_ptr<spdlog::formatter> MakeFormatter(Format format) {
  return std::make_unique<spdlog::pattern_formatter>(
      format == Format::kJson ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc);
}

class Loggers {
 public:
  Loggers() {
    Levels levels;
    levels.fill(Level::kInfo);
    this->Use(std::make_shared<spdlog::sinks::stderr_sink_mt>(), Format::kText, levels);
  }

  void Use(const spdlog::sink_ptr& sink, Format new_format, const Levels& levels) {
    this->format = new_format;
    sink->set_formatter(MakeFormatter(new_format));
    for (const auto& [category, name] : kCategoryNames) {
      const auto index = static_cast<std::size_t>(category);
      auto logger = std::make_shared<spdlog::logger>(std::string(name), sink);
      logger->set_level(ToSpdlog(levels[index]));
      // Warnings and errors must survive a crash that follows them.
      logger->flush_on(spdlog::level::warn);
      this->loggers[index] = std::move(logger);
    }
  }

  spdlog::logger& Of(Category category) {
    return *this->loggers[static_cast<std::size_t>(category)];
  }

  Format format = Format::kText;

 private:
  std::array<std::shared_ptr<spdlog::logger>, kCategoryNames.size()> loggers;
};

Loggers& AllLoggers() {
  static Loggers loggers;
  return loggers;
}

}  // namespace

base::Result<base::Done, LogError> CheckLevels(std::string_view levels) {
  const auto parsed = ParseLevels(levels);
  if (!base::Ok(parsed)) return base::ErrorOf(parsed);
  return base::Done{};
}

base::Result<base::Done, LogError> Configure(const Options& options) {
  const auto levels = ParseLevels(options.levels);
  if (!base::Ok(levels)) return base::ErrorOf(levels);
  spdlog::sink_ptr sink;
  try {
    if (options.file.empty() && options.to_standard_output) {
      sink = std::make_shared<BoundedSink>();
    } else if (options.file.empty()) {
      sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file);
    }
  } catch (const spdlog::spdlog_ex& error) {
    return LogError{LogErrorKind::kCannotOpen,
                    fmt::format("log file '{}': {}", options.file, error.what())};
  }
  Flush();
  AllLoggers().Use(sink, options.format, base::ValueOf(levels));
  base::SetSoftAssertHandler([](const base::AssertFailure& failure) {
    Error(Category::kBase, "soft assert failed",
          {{"condition", failure.condition}, {"file", failure.file}, {"line", failure.line}});
    Flush();
  });
  return base::Done{};
}

bool IsEnabled(Category category, Level level) {
  return level != Level::kOff && AllLoggers().Of(category).should_log(ToSpdlog(level));
}

void Write(Category category, Level level, std::string_view event, Fields fields) {
  if (!IsEnabled(category, level)) return;
  const std::string line = AllLoggers().format == Format::kJson
                               ? internal::JsonMembers(event, fields)
                               : internal::TextLine(event, fields);
  AllLoggers().Of(category).log(ToSpdlog(level), spdlog::string_view_t(line));
}

void Flush() { AllLoggers().Of(Category::kBase).flush(); }

}  // namespace mangoroad::log
