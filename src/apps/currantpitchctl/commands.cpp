#include "currantpitchctl/commands.h"

#include "currantpitchctl/ctlconstants.h"
#include "currantpitchctl/manifest.h"

#include <iostream>

namespace currantpitch::ctl {

namespace json = boost::json;

namespace {

std::string path_of(const std::string& kind, const std::string& name)
{
    return "/api/v1/" + http::percent_encode(kind) + (name.empty() ? "" : "/") +
           http::percent_encode(name);
}

int exit_code_for(unsigned status)
{
    switch (status) {
    case 200:
    case 201:
        return exit_ok;
    case 404:
        return exit_not_found;
    case 409:
        return exit_conflict;
    case 422:
        return exit_invalid;
    case 504:
        return exit_unknown;
    default:
        return exit_failed;
    }
}

/// Sets the exit code and returns the body of a successful response. Otherwise prints the error and
/// returns nullopt.
std::optional<json::value> parse_response(const core::result<http::response>& response, int& code)
{
    if (!response) {
        std::cerr << "error: " << response.error().detail << "\n";
        code = response.error().code == core::errc::unavailable ? exit_failed : exit_unknown;
        return std::nullopt;
    }
    code = exit_code_for(response.value().status);
    boost::system::error_code failure;
    json::value body = json::parse(response.value().body, failure);
    if (code != exit_ok || failure) {
        std::cerr << "error: " << response.value().status << " " << response.value().body << "\n";
        return std::nullopt;
    }
    return body;
}

core::result<http::response> send_request(const command_context& context, const std::string& method,
                                          const std::string& target, const std::string& body = "")
{
    api_client client(context.servers);
    http::request request;
    request.method = method;
    request.target = target;
    request.body = body;
    return client.exchange(std::move(request));
}

std::string string_field(const json::object& from, std::string_view section, std::string_view field)
{
    const json::value* const part = from.if_contains(section);
    const json::value* const value =
        part != nullptr && part->is_object() ? part->as_object().if_contains(field) : nullptr;
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

int apply_document(const command_context& context, json::object document)
{
    const std::string kind(document.at("kind").as_string());
    const std::string name = string_field(document, "metadata", "name");
    const core::result<http::response> existing = send_request(context, "GET", path_of(kind, name));
    if (!existing) {
        int code = exit_ok;
        parse_response(existing, code);
        return code;
    }
    std::string method = "POST";
    std::string target = path_of(kind, "");
    if (existing.value().status == 200) {
        const json::value current = json::parse(existing.value().body);
        const json::value& spec = current.as_object().at("spec");
        if (spec == document.at("spec")) {
            std::cout << kind << "/" << name << " unchanged\n";
            return exit_ok;
        }
        json::object& metadata = document["metadata"].as_object();
        if (!metadata.contains("version")) {
            metadata["version"] = current.as_object().at("metadata").as_object().at("version");
        }
        method = "PUT";
        target = path_of(kind, name);
    }
    int code = exit_ok;
    const std::optional<json::value> response =
        parse_response(send_request(context, method, target, json::serialize(document)), code);
    if (response) {
        std::cout << kind << "/" << name << (method == "POST" ? " created" : " updated") << "\n";
    }
    return code;
}

int drain_endpoint(const command_context& context, const std::string& name)
{
    int code = exit_ok;
    std::optional<json::value> existing =
        parse_response(send_request(context, "GET", path_of("Endpoint", name)), code);
    if (!existing) {
        return code;
    }
    json::object document = existing->as_object();
    document.erase("status");
    document["spec"].as_object()["desired"] = "leaving";
    const std::optional<json::value> response = parse_response(
        send_request(context, "PUT", path_of("Endpoint", name), json::serialize(document)), code);
    if (response) {
        std::cout << "Endpoint/" << name << " is leaving\n";
    }
    return code;
}

} // namespace

int apply_manifest(const command_context& context, const std::string& path)
{
    const manifest m = load_manifest(path);
    if (!m.problems.empty()) {
        std::cerr << core::to_text(m.problems);
        return exit_invalid;
    }
    int result_code = exit_ok;
    for (const manifest_document& d : m.documents) {
        const int code = apply_document(context, d.body);
        result_code = result_code == exit_ok ? code : result_code;
    }
    return result_code;
}

int validate(const std::string& path)
{
    const manifest m = load_manifest(path);
    std::cerr << core::to_text(m.problems);
    if (!m.problems.empty()) {
        return exit_invalid;
    }
    std::cout << path << ": " << m.documents.size() << " resources, no findings\n";
    return exit_ok;
}

int get(const command_context& context, const std::string& kind, const std::string& name)
{
    int code = exit_ok;
    const std::optional<json::value> body =
        parse_response(send_request(context, "GET", path_of(kind, name)), code);
    if (body) {
        std::cout << render(*body, context.format);
    }
    return code;
}

int describe_resource(const command_context& context, const std::string& kind,
                      const std::string& name)
{
    int code = exit_ok;
    const std::optional<json::value> body =
        parse_response(send_request(context, "GET", path_of(kind, name)), code);
    if (body) {
        std::cout << describe(body->as_object());
    }
    return code;
}

int watch(const command_context& context, const std::string& kind, unsigned lines)
{
    api_client client(context.servers);
    http::request request;
    request.target = "/api/v1/watch" + (kind.empty() ? "" : "?kind=" + http::percent_encode(kind));
    unsigned printed_lines = 0;
    const core::result<void> ended =
        client.stream(std::move(request), [&printed_lines, lines](const std::string& line) {
            std::cout << line << std::endl;
            ++printed_lines;
            return lines == 0 || printed_lines < lines;
        });
    if (!ended) {
        std::cerr << "error: " << ended.error().detail << "\n";
        return exit_failed;
    }
    return exit_ok;
}

int remove(const command_context& context, const std::string& kind, const std::string& name)
{
    int code = exit_ok;
    const std::optional<json::value> existing =
        parse_response(send_request(context, "GET", path_of(kind, name)), code);
    if (!existing) {
        return code;
    }
    const json::value& version = existing->as_object().at("metadata").as_object().at("version");
    const std::string target = path_of(kind, name) + "?version=" + json::serialize(version);
    const std::optional<json::value> response =
        parse_response(send_request(context, "DELETE", target), code);
    if (response) {
        std::cout << kind << "/" << name << " deleted\n";
    }
    return code;
}

int drain(const command_context& context, const std::string& kind, const std::string& name)
{
    if (kind == "Endpoint") {
        return drain_endpoint(context, name);
    }
    if (kind != "Host") {
        std::cerr << "error: only an Endpoint or a Host can be drained\n";
        return exit_invalid;
    }
    int code = exit_ok;
    const std::optional<json::value> response =
        parse_response(send_request(context, "POST", path_of("Host", name) + "/drain"), code);
    if (response) {
        std::cout << "Host/" << name << " is leaving\n";
    }
    return code;
}

int addresses(const command_context& context, const std::string& workspace)
{
    int code = exit_ok;
    const std::optional<json::value> body = parse_response(
        send_request(context, "GET", "/v1/addresses?workspace=" + http::percent_encode(workspace)),
        code);
    if (!body) {
        return code;
    }
    if (context.format != output_format::table) {
        std::cout << render(*body, context.format);
        return code;
    }
    std::vector<std::vector<std::string>> rows = {{"ADDRESS", "FAILURE-DOMAIN"}};
    for (const json::value& a : body->as_object().at("addresses").as_array()) {
        rows.push_back({std::string(a.as_object().at("address").as_string()),
                        std::string(a.as_object().at("failure_domain").as_string())});
    }
    std::cout << to_table(rows);
    return code;
}

} // namespace currantpitch::ctl
