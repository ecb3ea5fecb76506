// The cases 6 to 10 that are scripts: `lab2 CASE RECORD`. The variable TROUBLE=0 leaves out the
// disruption.
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <map>

#include "cases.h"

int main(int argc, char** argv) {
  const std::map<std::string, std::function<int(lab2::Record&, bool)>> cases{
      {"leave", lab2::RunLeave},
      {"route", lab2::RunRoute},
      {"beat", lab2::RunBeat},
      {"late", lab2::RunLate},
      {"done", lab2::RunDone}};
  if (argc != 3 || !cases.contains(argv[1])) return lab2::kCouldNotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  lab2::Record record(argv[2]);
  try {
    return cases.at(argv[1])(record, has_trouble);
  } catch (const std::exception& error) {
    record.Result(std::string("could not run: ") + error.what());
    return lab2::kCouldNotRun;
  }
}
