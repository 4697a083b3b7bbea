#pragma once

#include "documents/internal/documentrows.h"
#include "documents/internal/documentscontext.h"
#include "documents/internal/documentstate.h"

namespace vanillatack {

/// One change by an operator: reads the pointer, writes the object, moves the pointer together with a history row, and
/// reads both back when an answer was lost.
class ApplyOperation : public std::enable_shared_from_this<ApplyOperation>
{
public:
    /// Told about the written document before the operator is.
    using Written = std::function<void(DocumentKind, DocumentVersion)>;

    ApplyOperation(DocumentsContext &context,
                   const DocumentState &state,
                   DocumentChange change,
                   Written written,
                   IDocuments::ApplyCompletion done);

    /// Takes the next step when one is due. Completions are called from here or from the platform's completions.
    void tick();

    /// Whether nothing is to be done or awaited any more.
    [[nodiscard]] bool isOver() const;

private:
    enum class Step {
        Check,
        ReadPointer,
        PutObject,
        Commit,
        ReadBack,
        Done,
    };

    void check();
    void readPointer();
    void putObject();
    void commit();
    void readBack();
    void onPointer(const Result<std::optional<TableRow>> &result);
    void onObject(const Result<void> &result);
    void onCommit(const Result<TableCommit> &result);
    void onReadBack(const Result<std::vector<TableRow>> &result);

    /// Compares the pointer's version with the base of the change.
    void onBaseVersion(std::uint64_t version);

    void goTo(Step step, Duration wait = Duration::zero());
    void finish(Result<std::uint64_t> result);
    void finishWritten();
    void finishAtTimeout();
    [[nodiscard]] Error conflict() const;

    /// Passes the result on while this operation exists.
    template<class Value>
    std::function<void(Result<Value>)> awaited(void (ApplyOperation::*handler)(const Result<Value> &));

    DocumentsContext &m_context;
    const DocumentState &m_state;
    DocumentChange m_change;
    Written m_written;
    IDocuments::ApplyCompletion m_done;
    PointerRecord m_record; ///< Value of the pointer row and of the history row.
    TimePoint m_deadline;
    TimePoint m_nextStepAt;
    Step m_step = Step::Check;
    std::uint64_t m_pointerRowVersion = 0;
    bool m_awaiting = false;
    bool m_outcomeOpen = false; ///< A commit was sent whose outcome is not known.
};

} // namespace vanillatack
