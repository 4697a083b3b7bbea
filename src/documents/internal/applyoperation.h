#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

namespace vanillatack {

/// State machine of one apply(): reads the pointer row, puts the object, commits the new pointer and a history row in
/// one transaction, and reads the history row back if the outcome of the commit is unknown.
class ApplyOperation : public std::enable_shared_from_this<ApplyOperation>
{
public:
    /// Called with the committed document, before the completion of the operation.
    using WrittenCallback = std::function<void(DocumentKind, Document)>;

    ApplyOperation(DocumentsContext &context,
                   const DocumentState &state,
                   DocumentChange change,
                   WrittenCallback written,
                   IDocuments::ApplyCompletion done);

    /// Runs the next step if it is due. Completions are called from here or from completions of platform calls.
    void tick();

    /// Whether the operation has completed and no platform call is outstanding.
    [[nodiscard]] bool isFinished() const;

private:
    enum class Step {
        Validate,
        ReadPointer,
        PutObject,
        Commit,
        ReadBack,
        Done,
    };

    void validate();
    void readPointer();
    void putObject();
    void commit();
    void readBack();
    void onPointerRead(const Result<std::optional<TableRow>> &result);
    void onObjectPut(const Result<void> &result);
    void onCommitResult(const Result<TableCommit> &result);
    void onReadBack(const Result<std::vector<TableRow>> &result);

    /// Compares the version of the pointer row with the base version of the change.
    void checkBaseVersion(std::uint64_t version);

    void scheduleStep(Step step, Duration wait = Duration::zero());
    void finish(Result<std::uint64_t> result);
    void finishCommitted();
    void finishTimedOut();
    [[nodiscard]] Error conflict() const;

    /// Returns a completion for a platform call that invokes the handler if this operation still exists.
    template<class Value>
    std::function<void(Result<Value>)> makeCompletion(void (ApplyOperation::*handler)(const Result<Value> &));

    DocumentsContext &m_context;
    const DocumentState &m_state;
    DocumentChange m_change;
    WrittenCallback m_onWritten;
    IDocuments::ApplyCompletion m_done;
    PointerRecord m_record; ///< Value of the pointer row and of the history row.
    TimePoint m_deadline;
    TimePoint m_nextStepAt;
    Step m_step = Step::Validate;
    std::uint64_t m_pointerRowVersion = 0;
    bool m_awaitingAnswer = false;
    bool m_outcomeUnknown = false; ///< The outcome of a commit that was sent is unknown.
};

} // namespace vanillatack
