#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "random_table.h"
#include "table/csv_reader.h"

namespace mangoroad::table {
namespace {

const std::string kHeader =
    "row,class,team,weight,place,limit_inflight,limit_rate,deadline_ms,retries,idempotent,"
    "quota_processors,urgent,hold_s\n";
const std::string kGood = "push,service,slides,10,kochi|thrissur,8,0,1500,1,no,0,yes,0\n";

std::vector<std::string> FaultsOf(const std::string& text, const ReadOptions& options = {}) {
  std::vector<std::string> lines;
  const auto read = ReadCsv("t.csv", text, options);
  if (base::Ok(read)) return lines;
  for (const Fault& fault : base::ErrorOf(read)) lines.push_back(ToString(fault));
  return lines;
}

/// `kGood` with the field of one column replaced.
std::string With(std::size_t column, const std::string& value) {
  std::string line = kGood;
  std::size_t begin = 0;
  for (std::size_t i = 0; i < column; ++i) begin = line.find(',', begin) + 1;
  const std::size_t end = line.find_first_of(",\n", begin);
  return kHeader + line.replace(begin, end - begin, value);
}

// Guards against a wrong value that goes into force, and a fault that names the wrong place.
TEST_CASE("each wrong field is reported with file, line and column") {
  struct Case {
    std::size_t column;
    std::string value;
    std::string fault;
  };
  const std::vector<Case> cases{
      {0, "", "row: '' is not a name"},
      {0, "-x", "row: '-x' is not a name"},
      {0, "a b", "row: 'a b' is not a name"},
      {0, std::string(65, 'x'), "row: '" + std::string(64, 'x') + "...' is not a name"},
      {0, "caf\xc3\xa9", "row: 'caf\\xc3\\xa9' is not a name"},
      {1, "Service", "class: 'Service' is not a class"},
      {2, "a/b", "team: 'a/b' is not a name"},
      {3, "0", "weight: '0' is out of range: it must be from 1 to 1000"},
      {3, "1001", "weight: '1001' is out of range"},
      {3, "ten", "weight: 'ten' is not a whole number from 1 to 1000"},
      {3, "1.5", "weight: '1.5' is not a whole number"},
      {3, "-1", "weight: '-1' is not a whole number"},
      {3, "+1", "weight: '+1' is not a whole number"},
      {3, "", "weight: '' is not a whole number"},
      {3, "99999999999999999999999", "weight: '99999999999999999999999' is out of range"},
      {4, "", "place: '' is not a name"},
      {4, "kochi|", "place: '' is not a name"},
      {4, "kochi|any", "place: 'any' can't be combined"},
      {4, "kochi|kochi", "place: failure domain 'kochi' appears twice"},
      {4, "a|b|c|d|e|f|g|h|i|j|k|l|m|n|o|p|q", "place: more than 16 failure domains"},
      {5, "4294967296", "limit_inflight: '4294967296' is out of range"},
      {6, "x", "limit_rate: 'x' is not a whole number"},
      {7, "86400001", "deadline_ms: '86400001' is out of range"},
      {7, "0", "deadline_ms: a service needs a deadline"},
      {8, "6", "retries: '6' is out of range"},
      {9, "true", "idempotent: 'true' is neither 'yes' nor 'no'"},
      {10, "1e3", "quota_processors: '1e3' is not a whole number"},
      {11, "YES", "urgent: 'YES' is neither"},
      {12, "7201", "hold_s: '7201' is out of range"},
  };
  for (const Case& wrong : cases) {
    INFO(wrong.fault);
    const auto faults = FaultsOf(With(wrong.column, wrong.value));
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0], Catch::StartsWith("t.csv:2:" + wrong.fault));
  }
}

// Guards against a malformed file of which a part is accepted.
TEST_CASE("faults of structure are reported") {
  struct Case {
    std::string text;
    std::vector<std::string> faults;
  };
  std::string swapped = kHeader;
  swapped.replace(swapped.find("weight"), 6, "wieght");
  std::string twice = kHeader;
  twice.replace(twice.find("hold_s"), 6, "urgent");
  const std::string quota_1 = "r1,batch,t,1,any,0,0,0,0,yes,5,no,0\n";
  const std::string quota_2 = "r2,batch,t,1,any,0,0,0,0,yes,6,no,0\n";
  const std::vector<Case> cases{
      {"", {"t.csv:1:-: the file has no header line"}},
      {"\n \n", {"t.csv:1:-: the file has no header line"}},
      {swapped + kGood,
       {"t.csv:1:wieght: unknown column 'wieght'", "t.csv:1:weight: the column is missing"}},
      {twice + kGood,
       {"t.csv:1:urgent: column 'urgent' appears twice", "t.csv:1:hold_s: the column is missing"}},
      {kHeader + "push,service,slides,10\n",
       {"t.csv:2:place: the line has 4 fields; the header has 13"}},
      {kHeader + "\n" + kGood.substr(0, kGood.size() - 1) + ",1\n",
       {"t.csv:3:-: the line has 14 fields; the header has 13"}},
      {kHeader + kGood + "\n" + kGood, {"t.csv:4:row: row 'push' is already on line 2"}},
      {kHeader + "push,\"service\n" + kGood, {"t.csv:2:class: wrong quotes"}},
      {kHeader + "pu\"sh,service\n" + kGood, {"t.csv:2:row: wrong quotes"}},
      {kHeader + "a\rb\n", {"t.csv:2:-: carriage return inside the line"}},
      {kHeader + quota_1 + quota_2,
       {"t.csv:3:quota_processors: '6' differs from '5' on line 2; the quota must be the same"}},
      {std::string(kMaxCsvBytes + 1, 'x'),
       {"t.csv:1:-: the file has 1048577 bytes; at most 1048576 are allowed"}},
  };
  for (const Case& wrong : cases) {
    INFO(wrong.text.substr(0, 300));
    const auto faults = FaultsOf(wrong.text);
    REQUIRE(faults.size() == wrong.faults.size());
    for (std::size_t i = 0; i < faults.size(); ++i) {
      CHECK_THAT(faults[i], Catch::StartsWith(wrong.faults[i]));
    }
  }
}

// Guards against a report that stops at the first fault, so that an operator needs many rounds.
TEST_CASE("all faults of a file are reported in order of lines") {
  const auto faults = FaultsOf(kHeader + "a,x,t,0,any,0,0,1,9,yes,0,no,0\n" + kGood +
                               "b,batch,t,1,any,0,0,1,0,maybe,0,no,0\n");
  REQUIRE(faults.size() == 4);
  CHECK_THAT(faults[0], Catch::StartsWith("t.csv:2:class"));
  CHECK_THAT(faults[3], Catch::StartsWith("t.csv:4:idempotent"));
}

// Guards against work that is sent to a failure domain that doesn't exist.
TEST_CASE("unknown failure domains are faults when the known ones are given") {
  const std::string text = kHeader + kGood;
  CHECK(FaultsOf(text).empty());
  CHECK(FaultsOf(text, {{{"kochi", "thrissur"}}}).empty());
  const auto faults = FaultsOf(text, {{{"kochi", "kozhikode"}}});
  REQUIRE(faults.size() == 1);
  CHECK(faults[0] ==
        "t.csv:2:place: unknown failure domain 'thrissur'; known are: kochi, kozhikode");
}

// Guards against a table that is larger than an entry VM is dimensioned for.
TEST_CASE("at most 10,000 rows are read") {
  std::string text = kHeader;
  for (std::size_t i = 0; i < kMaxRows; ++i) {
    text += "r" + std::to_string(i) + ",batch,t,1,any,0,0,0,0,yes,0,no,0\n";
  }
  CHECK(FaultsOf(text).empty());
  CHECK(FaultsOf(text + kGood + kGood) ==
        std::vector<std::string>{"t.csv:10002:-: more than 10000 rows; the rest is not read"});
}

// Guards against refusing what spreadsheet programs write.
TEST_CASE("quotes, spaces, CRLF, empty lines and a byte order mark are accepted") {
  const auto plain = ReadCsv("t.csv", kHeader + kGood);
  const auto quoted = ReadCsv(
      "t.csv", "\xef\xbb\xbf" + kHeader.substr(0, kHeader.size() - 1) +
                   "\r\n\r\n\"push\", service ,slides,10,\"kochi|thrissur\",8,0,1500,1,no,0,yes,0");
  REQUIRE(base::Ok(plain));
  REQUIRE(base::Ok(quoted));
  CHECK(base::ValueOf(plain) == base::ValueOf(quoted));
}

// Guards against columns that are read by position instead of by name.
TEST_CASE("columns may come in any order") {
  const auto read = ReadCsv(
      "t.csv",
      "hold_s,urgent,quota_processors,idempotent,retries,deadline_ms,limit_rate,limit_inflight,"
      "place,weight,team,class,row\n9,yes,0,no,1,1500,0,8,kochi|thrissur,10,slides,service,push\n");
  REQUIRE(base::Ok(read));
  const Row* row = base::ValueOf(read).Find("push");
  REQUIRE(row != nullptr);
  CHECK(row->hold_s == 9);
  CHECK(row->team == "slides");
  CHECK(base::ValueOf(read).Find("pus") == nullptr);
}

// Guards against values that change when a table is written and read again.
TEST_CASE("reading a written table gives an equal table") {
  CHECK(rc::check([] {
    const Table table = *RandomTable();
    const std::string text = WriteCsv(table);
    const auto read = ReadCsv("t.csv", text);
    RC_ASSERT(base::Ok(read));
    RC_ASSERT(base::ValueOf(read) == table);
    RC_ASSERT(WriteCsv(base::ValueOf(read)) == text);
  }));
}

// Guards against example tables that the reader refuses.
TEST_CASE("the example tables are valid and canonical") {
  const std::string name = GENERATE("kerala-fleet.csv", "audit-service.csv");
  std::ifstream file(std::string(MANGOROAD_SOURCE_DIR) + "/share/mangoroad/" + name);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  INFO(name);
  CHECK(FaultsOf(text).empty());
  CHECK(WriteCsv(base::ValueOf(ReadCsv(name, text))) == text);
}

}  // namespace
}  // namespace mangoroad::table
