#include "tool/internal/adminclient.h"

#include "model/endpoint.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::chrono::seconds ConnectTimeout(2);
// A node may wait 10 s for the platform and 5 s for the availability zones before it responds to a change.
constexpr std::chrono::seconds AnswerTimeout(15);

httplib::Client makeClient(const Endpoint &node, const std::string &credential)
{
    httplib::Client client(node.address, node.port);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(AnswerTimeout);
    client.set_write_timeout(AnswerTimeout);
    client.set_default_headers({{"Authorization", "Bearer " + credential}});
    return client;
}

std::string describeFailure(const Endpoint &node, httplib::Error error)
{
    return absl::StrCat(" ", node.text(), ": ", httplib::to_string(error), ".");
}

// Returns whether the connection failed before any part of the request was sent.
bool isNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

Result<std::string> bodyOrError(const httplib::Response &response)
{
    if (response.status == 200) {
        return response.body;
    }
    const Result<AdminProblem> problem = parseAdminValue<AdminProblem>(response.body);
    if (problem) {
        return problem.value().error;
    }
    return makeError(ErrorKind::Internal,
                     absl::StrCat("The node answered with status ", response.status, " and no error message."),
                     "Check that the address is the admin port of a node.");
}

} // namespace

Result<Endpoint> parseNodeAddress(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
        return makeError(ErrorKind::InvalidArgument,
                         "\"" + text + "\" is not a valid node address.",
                         "Use ADDRESS:PORT with an IPv4 address, such as 10.0.0.7:7482.");
    }
    return *endpoint;
}

AdminClient::AdminClient(std::vector<Endpoint> nodes, std::string credential)
    : m_nodes(std::move(nodes))
    , m_credential(std::move(credential))
{
}

Error AdminClient::unreachableError(const std::string &causes) const
{
    return makeError(ErrorKind::Unavailable, "No node answered." + causes, "Pass other nodes with --node.");
}

Result<std::string> AdminClient::getBody(const std::string &path) const
{
    std::string causes;
    for (const Endpoint &node : m_nodes) {
        const httplib::Result reply = makeClient(node, m_credential).Get(path);
        if (reply) {
            return bodyOrError(*reply);
        }
        causes += describeFailure(node, reply.error());
    }
    return unreachableError(causes);
}

Result<std::string> AdminClient::postChange(const std::string &path, const std::string &body) const
{
    std::string causes;
    for (const Endpoint &node : m_nodes) {
        const httplib::Result reply = makeClient(node, m_credential).Post(path, body, "application/json");
        if (!reply && isNotSent(reply.error())) {
            causes += describeFailure(node, reply.error());
            continue;
        }
        if (!reply) {
            return makeError(ErrorKind::OutcomeUnknown,
                             "The node did not answer the change." + describeFailure(node, reply.error()),
                             "Check the state before you retry the change.");
        }
        Result<std::string> text = bodyOrError(*reply);
        // The node may have applied the change before it failed.
        const bool isOutcomeUnknown =
            !text && (text.error().kind == ErrorKind::Timeout || text.error().kind == ErrorKind::Internal);
        if (isOutcomeUnknown) {
            return makeError(ErrorKind::OutcomeUnknown, text.error().message, text.error().remedy);
        }
        return text;
    }
    return unreachableError(causes);
}

} // namespace vanillatack
