// sailctl: the operators' command line.

#include "Declarations.hpp"

#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/config/WorkspaceParser.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <random>
#include <span>

namespace
{
using namespace sailpath;
using adapters::settings::Endpoint;
using adapters::settings::ExitCode;
using adapters::settings::Option;
using adapters::settings::OptionKind;
using adapters::settings::Settings;
using nlohmann::json;

constexpr std::array options{
    Option{"api", OptionKind::Endpoint, "127.0.0.1:8090", "a sailpath-api"},
    Option{"token-file", OptionKind::SecretFile, "", "file with your token"},
    Option{"file", OptionKind::Text, "", "declaration, or directory of declarations (apply, diff)"},
    Option{"prune", OptionKind::Switch, "false", "apply: delete workspaces that the directory does not declare"},
    Option{"dry-run", OptionKind::Switch, "false", "apply, delete: only say what would happen"},
    Option{"scope", OptionKind::Name, "write", "token: read or write"},
    Option{"vms", OptionKind::Endpoints, "", "status: status addresses of the VMs to ask"},
};

constexpr adapters::settings::Program program{
    "sailctl", "Declares workspaces and shows what is in force.",
    "validate PATH... | diff | apply | list | get WORKSPACE | delete WORKSPACE | token WORKSPACE | status", options};

////////////////////////////////////////////////////////////
/// \brief What is known of a workspace in the store
////////////////////////////////////////////////////////////
struct Stored
{
    bool                             found{false}; //!< Whether it exists
    std::string                      tag;          //!< ETag
    std::optional<config::Workspace> workspace;    //!< Its declaration
};

////////////////////////////////////////////////////////////
/// \brief One run of the program
////////////////////////////////////////////////////////////
class Ctl
{
public:
    Ctl(const Settings& settings, std::span<const std::string> operands) :
    m_settings(settings),
    m_operands(operands),
    m_client(settings.endpoint("api").address, settings.endpoint("api").port)
    {
        m_client.set_bearer_token_auth(settings.secret("token-file"));
        m_client.set_read_timeout(std::chrono::seconds{15});
    }

    ////////////////////////////////////////////////////////////
    int run()
    {
        struct Command
        {
            std::string_view name; //!< First operand
            int (Ctl::*work)();    //!< What it does
        };
        static constexpr std::array commands{Command{"validate", &Ctl::validate}, Command{"diff", &Ctl::diff},
                                             Command{"apply", &Ctl::apply},       Command{"list", &Ctl::list},
                                             Command{"get", &Ctl::get},           Command{"delete", &Ctl::remove},
                                             Command{"token", &Ctl::token},       Command{"status", &Ctl::status}};
        const auto                  found = std::find_if(commands.begin(), commands.end(),
                                                         [this](const Command& command) { return command.name == m_operands.front(); });
        if (found == commands.end())
        {
            std::cerr << m_operands.front() << ": unknown command; see --help\n";
            return ExitCode::ExitUsage;
        }
        return (this->*found->work)();
    }

private:
    ////////////////////////////////////////////////////////////
    int validate()
    {
        core::Findings findings;
        std::size_t    count = 0;
        for (const std::string& path : m_operands.subspan(1))
        {
            const programs::Declarations read = programs::readDeclarations(path);
            findings.append(read.findings);
            count += read.workspaces.size();
        }
        std::cerr << findings.text();
        if (!findings.empty())
            return ExitCode::ExitFindings;
        std::cout << count << " workspaces are right\n";
        return ExitCode::ExitOk;
    }

    ////////////////////////////////////////////////////////////
    int diff()
    {
        return forEachDeclared(&Ctl::diffOne);
    }

    ////////////////////////////////////////////////////////////
    int apply()
    {
        const int code = forEachDeclared(&Ctl::applyOne);
        return code == ExitCode::ExitOk && m_settings.isOn("prune") ? prune() : code;
    }

    ////////////////////////////////////////////////////////////
    int forEachDeclared(int (Ctl::*work)(const config::Workspace&))
    {
        const programs::Declarations read = programs::readDeclarations(m_settings.text("file"));
        std::cerr << read.findings.text();
        if (!read.findings.empty())
            return ExitCode::ExitFindings;
        int worst = ExitCode::ExitOk;
        for (const config::Workspace& workspace : read.workspaces)
            worst = std::max(worst, (this->*work)(workspace));
        return worst;
    }

    ////////////////////////////////////////////////////////////
    int diffOne(const config::Workspace& workspace)
    {
        Stored stored;
        if (const int code = fetch(workspace.name, stored); code != ExitCode::ExitOk)
            return code;
        if (!stored.found)
            std::cout << workspace.name << ": create\n";
        else if (stored.workspace == workspace)
            std::cout << workspace.name << ": no change\n";
        else
            std::cout << workspace.name << ": change\n"
                      << json::diff(json::parse(config::formatWorkspace(*stored.workspace)),
                                    json::parse(config::formatWorkspace(workspace)))
                             .dump(2)
                      << "\n";
        return ExitCode::ExitOk;
    }

    ////////////////////////////////////////////////////////////
    int applyOne(const config::Workspace& workspace)
    {
        Stored stored;
        if (const int code = fetch(workspace.name, stored); code != ExitCode::ExitOk)
            return code;
        if (stored.found && stored.workspace == workspace)
        {
            std::cout << workspace.name << ": no change\n";
            return ExitCode::ExitOk;
        }
        const std::string path = resource(workspace.name) + (m_settings.isOn("dry-run") ? "?dryRun=true" : "");
        const auto        answer =
            m_client.Put(path, preconditions(stored), config::formatWorkspace(workspace), "application/json");
        return report(answer, workspace.name + ": " + (stored.found ? "changed" : "created"));
    }

    ////////////////////////////////////////////////////////////
    int prune()
    {
        const programs::Declarations read = programs::readDeclarations(m_settings.text("file"));
        const auto                   answer = m_client.Get("/v1/workspaces");
        if (!answer || answer->status != 200)
            return report(answer, "");
        int        worst = ExitCode::ExitOk;
        const json listed = json::parse(answer->body);
        for (const json& item : listed.at("workspaces"))
        {
            const auto name = item.at("workspace").get<std::string>();
            const bool declared =
                std::any_of(read.workspaces.begin(), read.workspaces.end(),
                            [&](const config::Workspace& workspace) { return workspace.name == name; });
            if (!declared)
                worst = std::max(worst, removeOne(name));
        }
        return worst;
    }

    ////////////////////////////////////////////////////////////
    int list()
    {
        const auto answer = m_client.Get("/v1/workspaces");
        return report(answer, answer ? answer->body : "");
    }

    ////////////////////////////////////////////////////////////
    int get()
    {
        const auto answer = m_client.Get(resource(operand()));
        return report(answer, answer ? answer->body : "");
    }

    ////////////////////////////////////////////////////////////
    int remove()
    {
        return removeOne(operand());
    }

    ////////////////////////////////////////////////////////////
    int removeOne(const std::string& workspace)
    {
        Stored stored;
        if (const int code = fetch(workspace, stored); code != ExitCode::ExitOk)
            return code;
        const std::string path = resource(workspace) + (m_settings.isOn("dry-run") ? "?dryRun=true" : "");
        return report(m_client.Delete(path, preconditions(stored)), workspace + ": deleted");
    }

    ////////////////////////////////////////////////////////////
    int token()
    {
        const auto answer = m_client.Post(resource(operand()) + "/tokens",
                                          json{{"scope", m_settings.text("scope")}}.dump(), "application/json");
        return report(answer, answer && answer->status == 200 ? json::parse(answer->body).value("token", "") : "");
    }

    ////////////////////////////////////////////////////////////
    int status()
    {
        int worst = ExitCode::ExitOk;
        for (const Endpoint& vm : m_settings.endpoints("vms"))
        {
            httplib::Client client(vm.address, vm.port);
            client.set_connection_timeout(std::chrono::seconds{1});
            client.set_read_timeout(std::chrono::seconds{2});
            const auto answer = client.Get("/status");
            if (!answer || answer->status != 200)
            {
                std::cout << vm.text() << " does not answer\n";
                worst = ExitCode::ExitFailed;
                continue;
            }
            const json body = json::parse(answer->body);
            std::cout << vm.text() << " node=" << body.at("node").get<std::string>()
                      << " revision=" << body.at("revision") << " relay=" << body.at("relay")
                      << " members=" << body.at("members").size() << "\n";
        }
        return worst;
    }

    ////////////////////////////////////////////////////////////
    int fetch(const std::string& workspace, Stored& stored)
    {
        const auto answer = m_client.Get(resource(workspace));
        if (answer && answer->status == 404)
            return ExitCode::ExitOk;
        if (!answer || answer->status != 200)
            return report(answer, "");
        stored.found = true;
        stored.tag = answer->get_header_value("ETag");
        stored.workspace = config::parseWorkspace(answer->body, workspace).workspace;
        return ExitCode::ExitOk;
    }

    ////////////////////////////////////////////////////////////
    static int report(const httplib::Result& answer, const std::string& done)
    {
        if (!answer)
        {
            std::cerr << "sailpath-api: " << httplib::to_string(answer.error()) << "\n";
            return ExitCode::ExitFailed;
        }
        if (answer->status == 200)
        {
            std::cout << done << (done.ends_with('\n') ? "" : "\n");
            return ExitCode::ExitOk;
        }
        std::cerr << answer->status << " " << answer->body;
        if (answer->status == 412)
            return ExitCode::ExitConflict;
        return answer->status == 422 ? ExitCode::ExitFindings : ExitCode::ExitFailed;
    }

    ////////////////////////////////////////////////////////////
    static httplib::Headers preconditions(const Stored& stored)
    {
        std::random_device source;
        const std::string  changeId = "ctl-" + std::to_string(source()) + "-" + std::to_string(source());
        httplib::Headers   headers{{"Change-Id", changeId}};
        headers.emplace(stored.found ? "If-Match" : "If-None-Match", stored.found ? stored.tag : "*");
        return headers;
    }

    ////////////////////////////////////////////////////////////
    static std::string resource(const std::string& workspace)
    {
        return "/v1/workspaces/" + workspace;
    }

    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string operand() const
    {
        return m_operands.size() > 1 ? m_operands[1] : std::string();
    }

    const Settings&              m_settings; //!< Checked settings
    std::span<const std::string> m_operands; //!< Command and its operands
    httplib::Client              m_client;   //!< Connection to the interface
};

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    if (started.operands.empty())
    {
        std::cerr << "sailctl: expected a command; see --help\n";
        return ExitCode::ExitUsage;
    }
    return Ctl(started.settings, started.operands).run();
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}
