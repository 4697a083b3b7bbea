#include "documents/internal/applyoperation.h"

#include "base/digest.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr int AttemptBits = 128;

Error unavailable(const std::string &reason)
{
    return makeError(ErrorKind::Unavailable,
                     "The document was not changed: " + reason,
                     "Apply the change again when the platform is available.");
}

} // namespace

ApplyOperation::ApplyOperation(DocumentsContext &context,
                               const DocumentState &state,
                               DocumentChange change,
                               WrittenCallback written,
                               IDocuments::ApplyCompletion done)
    : m_context(context)
    , m_state(state)
    , m_change(std::move(change))
    , m_onWritten(std::move(written))
    , m_done(std::move(done))
    , m_record{.entry = {.version = m_change.baseVersion + 1,
                         .digest = sha256Hex(m_change.content),
                         .author = m_change.author,
                         .note = m_change.note,
                         .appliedAtMs = context.wallTimeMs()},
               .attempt = context.random.hexToken(AttemptBits)}
    , m_deadline(context.clock.now() + context.settings.operationTimeout)
    , m_nextStepAt(context.clock.now())
{
}

bool ApplyOperation::isFinished() const
{
    return m_step == Step::Done && !m_awaitingAnswer;
}

void ApplyOperation::tick()
{
    const TimePoint now = m_context.clock.now();
    if (m_step == Step::Done) {
        return;
    }
    if (now >= m_deadline) {
        finishTimedOut();
        return;
    }
    if (m_awaitingAnswer || now < m_nextStepAt) {
        return;
    }
    switch (m_step) {
    case Step::Validate:
        validate();
        break;
    case Step::ReadPointer:
        readPointer();
        break;
    case Step::PutObject:
        putObject();
        break;
    case Step::Commit:
        commit();
        break;
    case Step::ReadBack:
        readBack();
        break;
    case Step::Done:
        break;
    }
}

template<class Value>
std::function<void(Result<Value>)>
ApplyOperation::makeCompletion(void (ApplyOperation::*handler)(const Result<Value> &))
{
    m_awaitingAnswer = true;
    return [weak = weak_from_this(), handler](const Result<Value> &result) {
        if (const auto self = weak.lock()) {
            self->m_awaitingAnswer = false;
            self->m_context.recordAnswer(result);
            (self.get()->*handler)(result);
            self->tick();
        }
    };
}

void ApplyOperation::validate()
{
    Result<void> valid = success();
    if (m_change.kind == DocumentKind::Keys) {
        const auto records = parseKeyDocument(m_change.content);
        if (!records) {
            valid = records.error();
        }
    } else if (m_context.settings.validateConfiguration) {
        valid = m_context.settings.validateConfiguration(m_change.content);
    }
    if (!valid) {
        finish(valid.error());
    } else if (m_state.current(m_change.kind).version > m_change.baseVersion) {
        finish(conflict());
    } else {
        scheduleStep(Step::ReadPointer);
        readPointer();
    }
}

void ApplyOperation::readPointer()
{
    m_context.table.read(pointerKey(m_change.kind), makeCompletion(&ApplyOperation::onPointerRead));
}

void ApplyOperation::onPointerRead(const Result<std::optional<TableRow>> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (!result) {
        scheduleStep(Step::ReadPointer, m_context.settings.retryInterval);
        return;
    }
    const std::optional<TableRow> &row = result.value();
    m_pointerRowVersion = row ? row->version : 0;
    if (!row) {
        checkBaseVersion(0);
        return;
    }
    const auto pointer = parsePointer(*row);
    if (!pointer) {
        finish(pointer.error());
        return;
    }
    checkBaseVersion(pointer.value().entry.version);
}

void ApplyOperation::checkBaseVersion(std::uint64_t version)
{
    if (version == m_change.baseVersion) {
        scheduleStep(Step::PutObject);
    } else if (version < m_change.baseVersion && m_state.current(m_change.kind).version >= m_change.baseVersion) {
        // This node already has the base version or a later one, so the read was stale.
        scheduleStep(Step::ReadPointer, m_context.settings.retryInterval);
    } else {
        finish(conflict());
    }
}

void ApplyOperation::putObject()
{
    m_context.objects.put(documentObjectName(m_change.kind, m_record.entry.version, m_record.entry.digest),
                          m_change.content,
                          makeCompletion(&ApplyOperation::onObjectPut));
}

void ApplyOperation::onObjectPut(const Result<void> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (result) {
        scheduleStep(Step::Commit);
        return;
    }
    const ErrorKind kind = result.error().kind;
    if (kind == ErrorKind::Unavailable || kind == ErrorKind::OutcomeUnknown) {
        // The name contains the digest of the content, so retrying the put is safe.
        scheduleStep(Step::PutObject, m_context.settings.retryInterval);
        return;
    }
    finish(result.error());
}

void ApplyOperation::commit()
{
    const std::string value = formatPointer(m_record);
    m_context.table.commit(
        {{.key = pointerKey(m_change.kind), .value = value, .expectedVersion = m_pointerRowVersion},
         {.key = historyKey(m_change.kind, m_record.entry.version), .value = value, .expectedVersion = 0}},
        makeCompletion(&ApplyOperation::onCommitResult));
}

void ApplyOperation::onCommitResult(const Result<TableCommit> &result)
{
    if (result.has_value() && result.value().committed) {
        finishCommitted();
    } else if (m_step == Step::Done) {
        return;
    } else if (!result && result.error().kind != ErrorKind::Unavailable
               && result.error().kind != ErrorKind::InvalidArgument) {
        m_outcomeUnknown = true;
        scheduleStep(Step::ReadBack, m_context.settings.retryInterval);
    } else if (m_outcomeUnknown) {
        // A conflict may come from an earlier commit of this operation.
        scheduleStep(Step::ReadBack, result ? Duration::zero() : m_context.settings.retryInterval);
    } else if (result) {
        finish(conflict());
    } else {
        finish(result.error().kind == ErrorKind::Unavailable ? unavailable(result.error().message) : result.error());
    }
}

void ApplyOperation::readBack()
{
    m_context.table.readMany({historyKey(m_change.kind, m_record.entry.version)},
                             makeCompletion(&ApplyOperation::onReadBack));
}

void ApplyOperation::onReadBack(const Result<std::vector<TableRow>> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (!result) {
        scheduleStep(Step::ReadBack, m_context.settings.retryInterval);
        return;
    }
    if (result.value().empty()) {
        // The row is absent, or the read was stale. Retrying the same transaction is safe: after the first commit the
        // pointer row no longer has the expected version.
        scheduleStep(Step::Commit, m_context.settings.retryInterval);
        return;
    }
    const auto record = parsePointer(result.value().front());
    if (record && record.value().attempt == m_record.attempt) {
        finishCommitted();
        return;
    }
    finish(conflict());
}

void ApplyOperation::scheduleStep(Step step, Duration wait)
{
    m_step = step;
    m_nextStepAt = m_context.clock.now() + wait;
}

void ApplyOperation::finishCommitted()
{
    // Runs also for an answer that arrives after the timeout, since the version was committed.
    m_onWritten(m_change.kind,
                {.version = m_record.entry.version, .digest = m_record.entry.digest, .content = m_change.content});
    finish(m_record.entry.version);
}

void ApplyOperation::finishTimedOut()
{
    if (m_outcomeUnknown || (m_step == Step::Commit && m_awaitingAnswer)) {
        finish(
            makeError(ErrorKind::OutcomeUnknown,
                      "The platform did not confirm the change in time; it may have taken effect or still take effect.",
                      "Check the history before you apply the change again."));
        return;
    }
    finish(unavailable("The platform did not answer in time."));
}

void ApplyOperation::finish(Result<std::uint64_t> result)
{
    if (m_step == Step::Done) {
        return;
    }
    m_step = Step::Done;
    const auto done = std::move(m_done);
    done(std::move(result));
}

Error ApplyOperation::conflict() const
{
    return makeError(ErrorKind::Conflict,
                     "The change is based on version " + std::to_string(m_change.baseVersion)
                         + ", which is not the version in force.",
                     "Fetch the version in force, redo the change on it and apply again.");
}

} // namespace vanillatack
