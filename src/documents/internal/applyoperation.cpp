#include "documents/internal/applyoperation.h"

#include "base/digest.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr int AttemptBits = 128;

Error unavailable(const std::string &why)
{
    return makeError(
        ErrorKind::Unavailable, "The document was not changed: " + why, "Apply again when the platform answers.");
}

} // namespace

ApplyOperation::ApplyOperation(DocumentsContext &context,
                               const DocumentState &state,
                               DocumentChange change,
                               Written written,
                               IDocuments::ApplyCompletion done)
    : m_context(context)
    , m_state(state)
    , m_change(std::move(change))
    , m_written(std::move(written))
    , m_done(std::move(done))
    , m_record{.entry = {.version = m_change.baseVersion + 1,
                         .digest = sha256Hex(m_change.content),
                         .author = m_change.author,
                         .note = m_change.note,
                         .appliedAtMs = context.wallMs()},
               .attempt = context.random.hexToken(AttemptBits)}
    , m_deadline(context.clock.now() + context.settings.operationTimeout)
    , m_nextStepAt(context.clock.now())
{
}

bool ApplyOperation::isOver() const
{
    return m_step == Step::Done && !m_awaiting;
}

void ApplyOperation::tick()
{
    const TimePoint now = m_context.clock.now();
    if (m_step == Step::Done) {
        return;
    }
    if (now >= m_deadline) {
        finishAtTimeout();
        return;
    }
    if (m_awaiting || now < m_nextStepAt) {
        return;
    }
    switch (m_step) {
    case Step::Check:
        check();
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
std::function<void(Result<Value>)> ApplyOperation::awaited(void (ApplyOperation::*handler)(const Result<Value> &))
{
    m_awaiting = true;
    return [weak = weak_from_this(), handler](const Result<Value> &result) {
        if (const auto self = weak.lock()) {
            self->m_awaiting = false;
            self->m_context.noteAnswer(result);
            (self.get()->*handler)(result);
            self->tick();
        }
    };
}

void ApplyOperation::check()
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
        goTo(Step::ReadPointer);
        readPointer();
    }
}

void ApplyOperation::readPointer()
{
    m_context.table.read(pointerKey(m_change.kind), awaited(&ApplyOperation::onPointer));
}

void ApplyOperation::onPointer(const Result<std::optional<TableRow>> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (!result) {
        goTo(Step::ReadPointer, m_context.settings.retryInterval);
        return;
    }
    const std::optional<TableRow> &row = result.value();
    m_pointerRowVersion = row ? row->version : 0;
    if (!row) {
        onBaseVersion(0);
        return;
    }
    const auto pointer = parsePointer(row->value);
    if (!pointer) {
        finish(pointer.error());
        return;
    }
    onBaseVersion(pointer.value().entry.version);
}

void ApplyOperation::onBaseVersion(std::uint64_t version)
{
    if (version == m_change.baseVersion) {
        goTo(Step::PutObject);
    } else if (version < m_change.baseVersion && m_state.current(m_change.kind).version >= m_change.baseVersion) {
        // This node has the base version, so the read was stale.
        goTo(Step::ReadPointer, m_context.settings.retryInterval);
    } else {
        finish(conflict());
    }
}

void ApplyOperation::putObject()
{
    m_context.objects.put(documentObjectName(m_change.kind, m_record.entry.version, m_record.entry.digest),
                          m_change.content,
                          awaited(&ApplyOperation::onObject));
}

void ApplyOperation::onObject(const Result<void> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (result) {
        goTo(Step::Commit);
        return;
    }
    const ErrorKind kind = result.error().kind;
    if (kind == ErrorKind::Unavailable || kind == ErrorKind::OutcomeUnknown) {
        // The name depends on the content, so that writing it again is safe.
        goTo(Step::PutObject, m_context.settings.retryInterval);
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
        awaited(&ApplyOperation::onCommit));
}

void ApplyOperation::onCommit(const Result<TableCommit> &result)
{
    if (result.has_value() && result.value().committed) {
        finishWritten();
    } else if (m_step == Step::Done) {
        return;
    } else if (!result && result.error().kind != ErrorKind::Unavailable
               && result.error().kind != ErrorKind::InvalidArgument) {
        m_outcomeOpen = true;
        goTo(Step::ReadBack, m_context.settings.retryInterval);
    } else if (m_outcomeOpen) {
        // The conflict may be with the earlier attempt of this operation.
        goTo(Step::ReadBack, result ? Duration::zero() : m_context.settings.retryInterval);
    } else if (result) {
        finish(conflict());
    } else {
        finish(result.error().kind == ErrorKind::Unavailable ? unavailable(result.error().message) : result.error());
    }
}

void ApplyOperation::readBack()
{
    m_context.table.readMany({historyKey(m_change.kind, m_record.entry.version)}, awaited(&ApplyOperation::onReadBack));
}

void ApplyOperation::onReadBack(const Result<std::vector<TableRow>> &result)
{
    if (m_step == Step::Done) {
        return;
    }
    if (!result) {
        goTo(Step::ReadBack, m_context.settings.retryInterval);
        return;
    }
    if (result.value().empty()) {
        // Not written yet as far as the read can tell. The same transaction again takes effect at most once, since the
        // first of the two moves the pointer row past the expected version.
        goTo(Step::Commit, m_context.settings.retryInterval);
        return;
    }
    const auto record = parsePointer(result.value().front().value);
    if (record && record.value().attempt == m_record.attempt) {
        finishWritten();
        return;
    }
    finish(conflict());
}

void ApplyOperation::goTo(Step step, Duration wait)
{
    m_step = step;
    m_nextStepAt = m_context.clock.now() + wait;
}

void ApplyOperation::finishWritten()
{
    // An answer that comes after the timeout still tells that the version is there.
    m_written(m_change.kind,
              {.version = m_record.entry.version, .digest = m_record.entry.digest, .content = m_change.content});
    finish(m_record.entry.version);
}

void ApplyOperation::finishAtTimeout()
{
    if (m_outcomeOpen || (m_step == Step::Commit && m_awaiting)) {
        finish(makeError(ErrorKind::OutcomeUnknown,
                         "The platform did not confirm the change; it may be in force or come into force.",
                         "Look at the history before you apply again."));
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
                     "The document is not at version " + std::to_string(m_change.baseVersion)
                         + " any more, or never was.",
                     "Fetch the version in force, repeat the change on it and apply again.");
}

} // namespace vanillatack
