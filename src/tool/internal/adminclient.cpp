#include "tool/internal/adminclient.h"

#include "model/endpoint.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::chrono::seconds ConnectTimeout(2);
// A change may wait 5 s for the platform and 5 s for the availability zones.
constexpr std::chrono::seconds AnswerTimeout(15);

httplib::Client connect(const Endpoint &node, const std::string &credential)
{
    httplib::Client client(node.address, node.port);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(AnswerTimeout);
    client.set_write_timeout(AnswerTimeout);
    client.set_default_headers({{"Authorization", "Bearer " + credential}});
    return client;
}

std::string causeOf(const Endpoint &node, httplib::Error error)
{
    return absl::StrCat(" ", node.text(), ": ", httplib::to_string(error), ".");
}

// Whether the connection failed before anything of the request was sent.
bool isUnsent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

Result<std::string> textOf(const httplib::Response &response)
{
    if (response.status == 200) {
        return response.body;
    }
    const Result<AdminProblem> problem = parseAdminValue<AdminProblem>(response.body);
    if (problem) {
        return problem.value().error;
    }
    return makeError(ErrorKind::Internal,
                     absl::StrCat("The node answered with status ", response.status, " and no explanation."),
                     "Check that the address is the admin port of a node.");
}

} // namespace

Result<Endpoint> parseNodeAddress(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
        return makeError(ErrorKind::InvalidArgument,
                         "\"" + text + "\" is not the address of a node.",
                         "Use ADDRESS:PORT with an IPv4 address, such as 10.0.0.7:7482.");
    }
    return *endpoint;
}

AdminClient::AdminClient(std::vector<Endpoint> nodes, std::string credential)
    : m_nodes(std::move(nodes))
    , m_credential(std::move(credential))
{
}

Error AdminClient::unreachable(const std::string &causes) const
{
    return makeError(ErrorKind::Unavailable, "No node answered." + causes, "Pass other nodes with --node.");
}

Result<std::string> AdminClient::readText(const std::string &path) const
{
    std::string causes;
    for (const Endpoint &node : m_nodes) {
        const httplib::Result reply = connect(node, m_credential).Get(path);
        if (reply) {
            return textOf(*reply);
        }
        causes += causeOf(node, reply.error());
    }
    return unreachable(causes);
}

Result<std::string> AdminClient::changeText(const std::string &path, const std::string &body) const
{
    std::string causes;
    for (const Endpoint &node : m_nodes) {
        const httplib::Result reply = connect(node, m_credential).Post(path, body, "application/json");
        if (!reply && isUnsent(reply.error())) {
            causes += causeOf(node, reply.error());
            continue;
        }
        if (!reply) {
            return makeError(ErrorKind::OutcomeUnknown,
                             "The answer to the change was lost." + causeOf(node, reply.error()),
                             "Look at the state before you repeat it.");
        }
        Result<std::string> text = textOf(*reply);
        const bool unclear =
            !text && (text.error().kind == ErrorKind::Timeout || text.error().kind == ErrorKind::Internal);
        if (unclear) {
            return makeError(ErrorKind::OutcomeUnknown, text.error().message, text.error().remedy);
        }
        return text;
    }
    return unreachable(causes);
}

} // namespace vanillatack
