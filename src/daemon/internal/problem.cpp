#include "daemon/internal/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace vanillatack {

namespace {

struct ProblemText {
    RefusalKind kind;
    int status;
    const char *title;
    const char *remedy;
};

constexpr std::array<ProblemText, 24> ProblemTexts = {{
    {RefusalKind::MalformedRequest, 400, "The request is malformed.", "Correct the request and send it again."},
    {RefusalKind::UnknownRoute, 404, "No route matches the method and path.", "Check the method and the path."},
    {RefusalKind::MissingKey, 401, "The route needs a key.", "Send Authorization: Bearer KEY."},
    {RefusalKind::UnknownKey, 401, "The key is not known.", "Check the key, or ask an operator for a new one."},
    {RefusalKind::WithdrawnKey, 401, "The key has been withdrawn.", "Ask an operator for a new key."},
    {RefusalKind::InvalidRequestToken,
     403,
     "The request token is not valid, or its request has ended.",
     "Pass on the Vanillatack-Request header of the request that is being served."},
    {RefusalKind::RateExceeded, 429, "The workspace is over its rate.", "Send again after Retry-After."},
    {RefusalKind::Overloaded, 503, "The service is overloaded.", "Send again after Retry-After."},
    {RefusalKind::UpstreamOverloaded, 503, "The upstream is overloaded.", "Send again after Retry-After."},
    {RefusalKind::DeadlineExceeded, 504, "The deadline has passed.", "Send again later."},
    {RefusalKind::NoInstance, 503, "No instance of the service can be reached.", "Send again after Retry-After."},
    {RefusalKind::Draining, 503, "The instance is shutting down.", "Send again after Retry-After."},
    {RefusalKind::NotReady, 503, "The node has no configuration yet.", "Send again after Retry-After."},
    {RefusalKind::ZoneCutOff,
     503,
     "The availability zone has been cut off for too long to check keys.",
     "Use an entry point in another availability zone."},
    {RefusalKind::StoreUnavailable,
     503,
     "The store that keeps the request from running twice cannot be reached.",
     "Send again after Retry-After with the same Idempotency-Key."},
    {RefusalKind::DuplicateInProgress,
     409,
     "A request with this Idempotency-Key is running, or its outcome is not known.",
     "Wait, then send it again with the same Idempotency-Key."},
    {RefusalKind::OutcomeUnknown,
     409,
     "The request has run or may have run, and its answer is not kept.",
     "Check the outcome before sending it under another Idempotency-Key."},
    {RefusalKind::IdempotencyMismatch,
     422,
     "The Idempotency-Key was used for a different request.",
     "Use a new Idempotency-Key for each request."},
    {RefusalKind::UpstreamFailed, 502, "The upstream failed.", "Check the run state before sending again."},
    {RefusalKind::BadUpstreamReply,
     502,
     "The upstream's answer was incomplete.",
     "Check the run state before sending again."},
    {RefusalKind::Cancelled, 499, "The caller went away.", "Send again."},
    {RefusalKind::HeadersTooLarge, 431, "The request head is too large.", "Send fewer or shorter headers."},
    {RefusalKind::BodyTooLarge, 413, "The request body is too large.", "Send a smaller body."},
    {RefusalKind::RateOwnerSilent,
     503,
     "The node that deals out the workspace's rate does not answer.",
     "Send again after Retry-After."},
}};

const ProblemText &problemText(RefusalKind kind)
{
    const auto text = std::find_if(ProblemTexts.begin(), ProblemTexts.end(), [kind](const ProblemText &entry) {
        return entry.kind == kind;
    });
    return text == ProblemTexts.end() ? ProblemTexts.front() : *text;
}

} // namespace

HttpResponse makeProblem(const Refusal &refusal, const std::string &rootId)
{
    const ProblemText &text = problemText(refusal.kind);
    const std::string kind(RefusalKindNames.name(refusal.kind));
    const nlohmann::json body = {
        {"type", "urn:vanillatack:problem:" + kind},
        {"kind", kind},
        {"title", text.title},
        {"remedy", text.remedy},
        {"status", text.status},
        {"run", std::string(RunStateNames.name(refusal.runState))},
        {"request_id", rootId},
    };
    // The request's id may hold bytes that are not UTF-8.
    const std::string content = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    HttpResponse response{text.status, {{"Content-Type", "application/problem+json"}}, content, false};
    if (refusal.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    if (!rootId.empty()) {
        response.headers.emplace_back("Vanillatack-Request-Id", rootId);
    }
    if (text.status == 401) {
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    return response;
}

HttpResponse makeUnreadableRequestProblem(int status)
{
    RefusalKind kind = RefusalKind::MalformedRequest;
    if (status == 413) {
        kind = RefusalKind::BodyTooLarge;
    } else if (status == 414 || status == 431) {
        kind = RefusalKind::HeadersTooLarge;
    }
    return makeProblem({kind, RunState::NotRun, Duration::zero()}, {});
}

} // namespace vanillatack
