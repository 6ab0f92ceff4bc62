#include "core/text.h"
#include "currantpitchctl/commands.h"
#include "currantpitchctl/ctlconstants.h"

#include <CLI/CLI.hpp>

#include <sstream>

using namespace currantpitch::ctl;

namespace {

output_format parse_format(const std::string& text)
{
    if (text == "json") {
        return output_format::json;
    }
    return text == "yaml" ? output_format::yaml : output_format::table;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("currantpitchctl reads and writes the resources of a currantpitch installation: "
                 "ModelGroup, Workspace and Endpoint, and the read-only Host and Quarantine.");
    command_context context;
    std::string servers = default_server;
    app.add_option_function<std::string>(
           "-s,--server", [&servers](const std::string& text) { servers = text; },
           "ADDRESS:PORT of an entry; several, separated by commas, are tried in order")
        ->envname("CURRANTPITCH_SERVER")
        ->default_str(default_server);
    app.add_option_function<std::string>(
           "-o,--output",
           [&context](const std::string& text) { context.format = parse_format(text); },
           "Output format: table, json or yaml")
        ->check(CLI::IsMember({"table", "json", "yaml"}))
        ->default_str("table");
    app.parse_complete_callback(
        [&context, &servers] { context.servers = currantpitch::core::split(servers, ','); });
    app.require_subcommand(1);
    app.fallthrough();
    app.footer("Exit codes: 0 done, 1 refused or unreachable, 2 invalid input, 3 conflict "
               "with another change,\n4 no such resource, 5 outcome of the write unknown.\n\n"
               "Examples:\n"
               "  currantpitchctl validate -f intents.yaml\n"
               "  currantpitchctl apply -f intents.yaml\n"
               "  currantpitchctl get Endpoint\n"
               "  currantpitchctl drain Endpoint tutor-rank-2\n"
               "  currantpitchctl drain Host entry-1");

    std::string file;
    std::string kind;
    std::string name;
    unsigned lines = 0;
    int code = exit_ok;
    const auto add_kind = [&kind](CLI::App* command) {
        command->add_option("kind", kind, "Kind of the resource")->required();
    };

    CLI::App* const apply_command =
        app.add_subcommand("apply", "Create or update the resources of a YAML file");
    apply_command->add_option("-f,--file", file, "YAML file, or - for standard input")->required();
    apply_command->callback([&] { code = apply_manifest(context, file); });

    CLI::App* const validate_command = app.add_subcommand(
        "validate", "Check a YAML file without contacting a server and report all findings");
    validate_command->add_option("-f,--file", file, "YAML file, or - for standard input")
        ->required();
    validate_command->callback([&] { code = validate(file); });

    CLI::App* const get_command =
        app.add_subcommand("get", "Print all resources of a kind, or one of them");
    add_kind(get_command);
    get_command->add_option("name", name, "Name of the resource");
    get_command->callback([&] { code = get(context, kind, name); });

    CLI::App* const describe_command =
        app.add_subcommand("describe", "Print one resource with its status and conditions");
    add_kind(describe_command);
    describe_command->add_option("name", name, "Name of the resource")->required();
    describe_command->callback([&] { code = describe_resource(context, kind, name); });

    CLI::App* const watch_command = app.add_subcommand("watch", "Print changes as they occur");
    watch_command->add_option("kind", kind, "Only print changes of this kind");
    watch_command->add_option("--lines", lines, "Exit after this number of lines");
    watch_command->callback([&] { code = watch(context, kind, lines); });

    CLI::App* const delete_command = app.add_subcommand("delete", "Delete one resource");
    add_kind(delete_command);
    delete_command->add_option("name", name, "Name of the resource")->required();
    delete_command->callback([&] { code = remove(context, kind, name); });

    CLI::App* const drain_command = app.add_subcommand(
        "drain",
        "Take an Endpoint or a Host out of service without cutting off requests in flight");
    add_kind(drain_command);
    drain_command->add_option("name", name, "Name of the resource")->required();
    drain_command->callback([&] { code = drain(context, kind, name); });

    CLI::App* const addresses_command = app.add_subcommand(
        "addresses", "Print the addresses of the entries that callers of a workspace should use");
    addresses_command->add_option("workspace", name, "Name of the workspace")->required();
    addresses_command->callback([&] { code = addresses(context, name); });

    CLI11_PARSE(app, argc, argv);
    return code;
}
