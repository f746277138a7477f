/*
 * Command line of the program: parses commands and flags and runs the command.
 */
#include "app/AdminClient.h"
#include "app/ForwardCommand.h"
#include "app/ServeCommand.h"
#include "app/TextFile.h"
#include "magnoliaspan/config.h"

#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <span>

DEFINE_string(settings, "", "settings file of the process (serve, forward)");
DEFINE_string(admin, "127.0.0.1:7300", "admin address of a running entry host (status, explain)");
DEFINE_string(environment, "production", "environment to promote to (promote)");
DEFINE_int64(generation, 0, "generation of the promoted document; 0 keeps that of the trial document (promote)");

namespace magnoliaspan {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *versionText = "magnoliaspan " MAGNOLIASPAN_VERSION;

constexpr const char *usageText = R"(usage: magnoliaspan COMMAND [FLAGS] [ARGUMENTS]

  serve --settings FILE           run an entry host until SIGTERM
  forward --settings FILE         run an entry host that forwards along published routes
  check FILE                      check a settings file or an environment document
  promote [--environment NAME] [--generation N] FILE
                                  write the trial document FILE to standard output
                                  as the document of environment NAME
  status [--admin IP:PORT]        state of a running entry host, with ages and sources
  explain [--admin IP:PORT] ID    the decisions made for one recent request
  version                         the version of this program
  help [configuration]            this text, or the reference of all configuration fields

Exit status: 0 success, 1 the command failed, 2 wrong usage.
)";

int reportDiagnostics(const Diagnostics &diagnostics)
{
    for (const Diagnostic &diagnostic : diagnostics) {
        std::cerr << diagnostic.toString() << '\n';
    }
    return diagnostics.empty() ? exitSuccess : exitFailure;
}

int usageError(const std::string &message)
{
    std::cerr << "magnoliaspan: " << message << "; see 'magnoliaspan help'\n";
    return exitUsage;
}

int reportUnreadableFile(const std::string &path)
{
    return reportDiagnostics({{path, 0, "file", "cannot be read"}});
}

/// Parses the file named by --settings and calls \p run with the settings.
template <typename SettingsType, typename Run>
int runWithSettings(std::string_view command, Run run)
{
    if (FLAGS_settings.empty()) {
        return usageError(fmt::format("{} needs --settings FILE", command));
    }
    const auto text = readTextFile(FLAGS_settings);
    if (!text) {
        return reportUnreadableFile(FLAGS_settings);
    }
    Diagnostics diagnostics;
    const auto settings = SettingsType::parse(*text, FLAGS_settings, diagnostics);
    return settings ? run(*settings) : reportDiagnostics(diagnostics);
}

int runServe()
{
    return runWithSettings<Settings>("serve", serve);
}

int runForward()
{
    return runWithSettings<ForwardSettings>("forward", [](const ForwardSettings &settings) { return forward(settings, FLAGS_settings); });
}

bool isForwardSettings(std::string_view text)
{
    return text.starts_with("discovery_address:") || text.find("\ndiscovery_address:") != std::string_view::npos;
}

bool isSettings(std::string_view text)
{
    // Only a settings file has the field seat at its top level.
    return text.starts_with("seat:") || text.find("\nseat:") != std::string_view::npos;
}

int runCheck(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return reportUnreadableFile(path);
    }
    Diagnostics diagnostics;
    if (isForwardSettings(*text)) {
        ForwardSettings::parse(*text, path, diagnostics);
    } else if (isSettings(*text)) {
        Settings::parse(*text, path, diagnostics);
    } else if (const EnvironmentPtr document = EnvironmentDocument::parse(*text, path, diagnostics)) {
        std::cout << path << ": generation " << document->generation << " of environment '" << document->environment << "', digest "
                  << document->digest << '\n';
    }
    return reportDiagnostics(diagnostics);
}

int runPromote(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return reportUnreadableFile(path);
    }
    Diagnostics diagnostics;
    const auto generation = FLAGS_generation > 0 ? std::optional<std::int64_t>(FLAGS_generation) : std::nullopt;
    const auto promoted = promote(*text, path, FLAGS_environment, generation, diagnostics);
    if (promoted) {
        std::cout << *promoted;
    }
    return reportDiagnostics(diagnostics);
}

int runAdminRequest(const std::string &path)
{
    const auto endpoint = Endpoint::parse(FLAGS_admin);
    if (!endpoint) {
        return usageError("--admin: expected IP:PORT, got '" + FLAGS_admin + "'");
    }
    const AdminReply reply = sendAdminRequest(*endpoint, path);
    if (!reply.hasResponse) {
        std::cerr << "magnoliaspan: no answer from " << FLAGS_admin << '\n';
        return exitFailure;
    }
    (reply.status == 200 ? std::cout : std::cerr) << reply.body;
    return reply.status == 200 ? exitSuccess : exitFailure;
}

int runHelp(std::span<const std::string> arguments)
{
    if (arguments.empty()) {
        std::cout << usageText;
        return exitSuccess;
    }
    if (arguments.front() == "configuration") {
        std::cout << referencePage();
        return exitSuccess;
    }
    return usageError("unknown help topic '" + arguments.front() + "'");
}

int run(const std::string &command, std::span<const std::string> arguments)
{
    const bool takesOneArgument = command == "check" || command == "promote" || command == "explain";
    if (takesOneArgument && arguments.size() != 1) {
        return usageError(fmt::format("{} takes one argument, got {}", command, arguments.size()));
    }
    if (!takesOneArgument && command != "help" && !arguments.empty()) {
        return usageError(fmt::format("{} takes no argument, got {}", command, arguments.size()));
    }
    if (command == "serve") {
        return runServe();
    }
    if (command == "forward") {
        return runForward();
    }
    if (command == "check") {
        return runCheck(arguments.front());
    }
    if (command == "promote") {
        return runPromote(arguments.front());
    }
    if (command == "status") {
        return runAdminRequest("/status");
    }
    if (command == "explain") {
        return runAdminRequest("/explain?request=" + arguments.front());
    }
    if (command == "version") {
        std::cout << versionText << '\n';
        return exitSuccess;
    }
    if (command == "help") {
        return runHelp(arguments);
    }
    return usageError("unknown command '" + command + "'");
}

} // namespace

} // namespace magnoliaspan

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(magnoliaspan::usageText);
    gflags::SetVersionString(MAGNOLIASPAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        return magnoliaspan::usageError("a command is missing");
    }
    return magnoliaspan::run(arguments.front(), std::span(arguments).subspan(1));
}
