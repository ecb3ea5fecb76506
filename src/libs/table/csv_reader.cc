#include "table/csv_reader.h"

#include <csv.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "table/columns.h"

namespace mangoroad::table {
namespace {

using internal::Columns;
using internal::kColumnCount;
using internal::Quoted;

constexpr std::string_view kNoColumn = "-";
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

/// Splits one line into fields with libcsv in strict mode.
class LineParser {
 public:
  LineParser() { csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI); }
  ~LineParser() { csv_free(&this->parser); }
  LineParser(const LineParser&) = delete;
  LineParser& operator=(const LineParser&) = delete;

  /// Fields of the line; false when the quotes are wrong, with the fields before the wrong one.
  bool Parse(std::string_view line, std::vector<std::string>& fields) {
    const auto add = [](void* data, std::size_t size, void* out) {
      static_cast<std::vector<std::string>*>(out)->emplace_back(static_cast<const char*>(data),
                                                                size);
    };
    fields.clear();
    const bool parsed =
        csv_parse(&this->parser, line.data(), line.size(), add, nullptr, &fields) == line.size();
    if (parsed && csv_fini(&this->parser, add, nullptr, &fields) == 0) return true;
    // A failed parser keeps its state, so that the next line needs a new one.
    csv_free(&this->parser);
    csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI);
    return false;
  }

 private:
  csv_parser parser{};
};

/// Reads the lines of one file and collects rows and faults.
class Reader {
 public:
  Reader(std::string_view name, const ReadOptions& read_options)
      : file(name), options(read_options) {}

  base::Result<Table, std::vector<Fault>> Read(std::string_view text) {
    if (text.size() > kMaxCsvBytes) {
      this->AddFault(
          1, kNoColumn,
          fmt::format("the file has {} bytes; at most {} are allowed", text.size(), kMaxCsvBytes));
      return std::move(this->faults);
    }
    if (text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
    this->ReadLines(text);
    if (!this->has_header) this->AddFault(1, kNoColumn, "the file has no header line");
    if (!this->faults.empty()) return std::move(this->faults);
    return Table(std::move(this->rows));
  }

 private:
  void AddFault(std::size_t line, std::string_view column, std::string message) {
    this->faults.push_back(
        {std::string(this->file), line, std::string(column), std::move(message)});
  }

  void ReadLines(std::string_view text) {
    std::size_t line_number = 0;
    while (!text.empty() && !this->stopped) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      ++line_number;
      if (line.ends_with('\r')) line.remove_suffix(1);
      const bool is_blank = line.find_first_not_of(" \t") == std::string_view::npos;
      if (!is_blank) this->ReadLine(line_number, line);
    }
  }

  void ReadLine(std::size_t line_number, std::string_view line) {
    if (line.find('\r') != std::string_view::npos) {
      this->AddFault(line_number, kNoColumn, "carriage return inside the line");
      this->stopped = !this->has_header;
      return;
    }
    if (!this->parser.Parse(line, this->fields)) {
      this->AddFault(line_number, this->ColumnName(this->fields.size()),
                     "wrong quotes: a quoted field must end on its line, and a quote inside it is "
                     "written twice");
      this->stopped = !this->has_header;
      return;
    }
    if (!this->has_header) {
      this->ReadHeader(line_number);
    } else if (++this->row_lines > kMaxRows) {
      this->AddFault(line_number, kNoColumn,
                     fmt::format("more than {} rows; the rest is not read", kMaxRows));
      this->stopped = true;
    } else {
      this->ReadRow(line_number);
    }
  }

  /// Name of the column at a position of the file, "-" past the last one or before the header.
  std::string_view ColumnName(std::size_t position) const {
    return position < this->header.size() ? std::string_view(this->header[position]) : kNoColumn;
  }

  void ReadHeader(std::size_t line_number) {
    this->has_header = true;
    this->header = this->fields;
    std::array<bool, kColumnCount> seen{};
    for (const std::string& name : this->header) {
      const auto index = internal::ColumnIndex(name);
      this->column_of_field.push_back(index);
      const std::string label = name.empty() ? std::string(kNoColumn) : this->Printable(name);
      if (!index) {
        this->AddFault(line_number, label, fmt::format("unknown column {}", Quoted(name)));
      } else if (std::exchange(seen[*index], true)) {
        this->AddFault(line_number, label, fmt::format("column {} appears twice", Quoted(name)));
        this->column_of_field.back().reset();
      }
    }
    for (std::size_t i = 0; i < kColumnCount; ++i) {
      if (!seen[i]) this->AddFault(line_number, Columns()[i].name, "the column is missing");
    }
  }

  /// An unknown column name as it may stand in a fault: without the quotes that Quoted() adds.
  static std::string Printable(std::string_view name) {
    const std::string quoted = Quoted(name);
    return quoted.substr(1, quoted.size() - 2);
  }

  void ReadRow(std::size_t line_number) {
    if (this->fields.size() != this->header.size()) {
      const bool is_short = this->fields.size() < this->header.size();
      this->AddFault(line_number, is_short ? this->ColumnName(this->fields.size()) : kNoColumn,
                     fmt::format("the line has {} fields; the header has {}", this->fields.size(),
                                 this->header.size()));
    }
    Row row;
    std::array<bool, kColumnCount> valid{};
    const std::size_t count = std::min(this->fields.size(), this->column_of_field.size());
    for (std::size_t i = 0; i < count; ++i) {
      if (const auto index = this->column_of_field[i]) {
        const internal::Column& column = Columns()[*index];
        const auto message = column.read(this->fields[i], row);
        if (message) this->AddFault(line_number, column.name, *message);
        valid[*index] = !message;
      }
    }
    this->CheckRow(line_number, row, valid);
    this->rows.push_back(std::move(row));
  }

  /// Checks that concern more than one field; they use only fields that were read without a fault.
  void CheckRow(std::size_t line_number, const Row& row,
                const std::array<bool, kColumnCount>& valid) {
    const auto is_valid = [&valid](std::string_view column) {
      return valid[*internal::ColumnIndex(column)];
    };
    if (is_valid("row")) {
      const auto [first, is_new] = this->line_of_row.emplace(row.row, line_number);
      if (!is_new) {
        this->AddFault(line_number, "row",
                       fmt::format("row {} is already on line {}", Quoted(row.row), first->second));
      }
    }
    if (is_valid("class") && is_valid("deadline_ms") && row.work_class == WorkClass::kService &&
        row.deadline_ms == 0) {
      this->AddFault(line_number, "deadline_ms", "a service needs a deadline of at least 1 ms");
    }
    if (is_valid("place")) this->CheckPlace(line_number, row);
    if (is_valid("team") && is_valid("quota_processors")) this->CheckQuota(line_number, row);
  }

  void CheckPlace(std::size_t line_number, const Row& row) {
    if (!this->options.known_domains) return;
    for (const std::string& domain : row.place) {
      if (std::ranges::find(*this->options.known_domains, domain) ==
          this->options.known_domains->end()) {
        this->AddFault(line_number, "place",
                       fmt::format("unknown failure domain {}; known are: {}", Quoted(domain),
                                   fmt::join(*this->options.known_domains, ", ")));
      }
    }
  }

  void CheckQuota(std::size_t line_number, const Row& row) {
    const auto [first, is_new] =
        this->quota_of_team.emplace(row.team, std::pair{row.quota_processors, line_number});
    const auto [quota, quota_line] = first->second;
    if (!is_new && quota != row.quota_processors) {
      this->AddFault(line_number, "quota_processors",
                     fmt::format("'{}' differs from '{}' on line {}; the quota must be the same on "
                                 "each row of team {}",
                                 row.quota_processors, quota, quota_line, Quoted(row.team)));
    }
  }

  std::string_view file;
  const ReadOptions& options;
  LineParser parser;
  std::vector<std::string> fields;
  bool has_header = false;
  bool stopped = false;
  std::vector<std::string> header;
  std::vector<std::optional<std::size_t>> column_of_field;
  std::size_t row_lines = 0;
  std::map<std::string, std::size_t> line_of_row;
  std::map<std::string, std::pair<std::uint32_t, std::size_t>> quota_of_team;
  std::vector<Row> rows;
  std::vector<Fault> faults;
};

}  // namespace

std::string ToString(const Fault& fault) {
  return fmt::format("{}:{}:{}: {}", fault.file, fault.line, fault.column, fault.message);
}

base::Result<Table, std::vector<Fault>> ReadCsv(std::string_view name, std::string_view text,
                                                const ReadOptions& options) {
  return Reader(name, options).Read(text);
}

}  // namespace mangoroad::table
