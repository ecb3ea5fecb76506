// drain, lost, domain retire, replica add|remove
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "mangoctl/session.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

struct OperatorOptions {
  std::string name;
  bool undo = false;
  std::uint64_t incarnation = 0;
  std::string address;
  bool voter = false;
};

void Change(Session& session, const std::string& path, Json body) {
  const auto answer = session.PostChange(path, std::move(body));
  if (!answer) return;
  session.Show(*answer, [&] {
    session.out.Line(fmt::format("{}: {}", Cell(*answer, "result"), Cell(*answer, "effect")),
                     Colour::kGreen);
  });
}

void Drain(Session& session, const OperatorOptions& options) {
  Change(session, fmt::format("/v1/targets/{}/drain", EncodeUriPart(options.name)),
         {{"undo", options.undo}});
}

void Lost(Session& session, const OperatorOptions& options) {
  if (!options.undo && options.incarnation == 0) {
    session.Fail(
        ExitCode::kError, "usage",
        "lost needs --incarnation: the number of the incarnation that is gone, as shown by "
        "'mangoctl --json targets'");
    return;
  }
  Change(session, fmt::format("/v1/targets/{}/lost", EncodeUriPart(options.name)),
         {{"incarnation", options.incarnation}, {"undo", options.undo}});
}

void Retire(Session& session, const OperatorOptions& options) {
  Change(session, fmt::format("/v1/domains/{}/retire", EncodeUriPart(options.name)),
         Json::object());
}

void AddReplica(Session& session, const OperatorOptions& options) {
  Change(session, "/v1/replicas",
         {{"action", "add"},
          {"name", options.name},
          {"address", options.address},
          {"voter", options.voter}});
}

void RemoveReplica(Session& session, const OperatorOptions& options) {
  Change(session, "/v1/replicas", {{"action", "remove"}, {"name", options.name}});
}

}  // namespace

void AddOperatorCommands(CLI::App& app, Session& session) {
  auto options = std::make_shared<OperatorOptions>();
  const auto add = [&](CLI::App& parent, const char* name, const char* help, auto run) {
    CLI::App* command = parent.add_subcommand(name, help);
    command->add_option("NAME", options->name, "id or name")->required();
    command->callback([&session, options, run] { run(session, *options); });
    return command;
  };
  CLI::App* drain = add(app, "drain", "give a target no new work", Drain);
  CLI::App* lost = add(app, "lost", "declare an incarnation of a target lost for ever", Lost);
  for (CLI::App* command : {drain, lost}) {
    command->add_flag("--undo", options->undo, "take it back");
  }
  lost->add_option("--incarnation", options->incarnation, "incarnation that is gone");
  CLI::App* domain = app.add_subcommand("domain", "failure domains");
  domain->require_subcommand(1);
  add(*domain, "retire", "declare a failure domain lost for ever", Retire);
  CLI::App* replica = app.add_subcommand("replica", "replicas of the log");
  replica->require_subcommand(1);
  CLI::App* added = add(*replica, "add", "add a learner, or promote it to a voter", AddReplica);
  added->add_option("--address", options->address, "address IP:PORT for other entry VMs")
      ->required();
  added->add_flag("--voter", options->voter, "make it a voter");
  add(*replica, "remove", "remove a replica", RemoveReplica);
}

}  // namespace mangoroad::mangoctl
