#include "admin/adminjson.h"

#include "admin/internal/adminfields.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace vanillatack {

namespace {

using nlohmann::json;

template<class Enum>
constexpr const auto &nameTable()
{
    if constexpr (std::same_as<Enum, ErrorKind>) {
        return ErrorKindNames;
    } else if constexpr (std::same_as<Enum, RefusalKind>) {
        return RefusalKindNames;
    } else if constexpr (std::same_as<Enum, RunState>) {
        return RunStateNames;
    } else if constexpr (std::same_as<Enum, PriorityClass>) {
        return PriorityClassNames;
    } else {
        return ZoneConfirmationNames;
    }
}

struct JsonWriter {
    json &target;

    template<class T>
    void operator()(const char *name, const T &value)
    {
        target[name] = write(value);
    }

    template<class T>
    static json write(const std::vector<T> &values)
    {
        json list = json::array();
        for (const T &value : values) {
            list.push_back(write(value));
        }
        return list;
    }

    template<class T>
    static json write(const std::optional<T> &value)
    {
        return value ? write(*value) : json();
    }

    template<class Tag>
    static json write(const Name<Tag> &name)
    {
        return name.value;
    }

    static json write(const Duration &duration)
    {
        return duration / std::chrono::milliseconds(1);
    }

    static json write(const BurnCollection &collection)
    {
        return json::parse(formatBurnCollection(collection));
    }

    template<class T>
    static json write(const T &value)
    {
        if constexpr (std::is_enum_v<T>) {
            return std::string(nameTable<T>().name(value));
        } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
            return value;
        } else {
            json object = json::object();
            JsonWriter writer{object};
            adminfields::visitFields(writer, value);
            return object;
        }
    }
};

[[noreturn]] void throwInvalid(const std::string &problem, const json &value)
{
    throw json::other_error::create(501, problem, &value);
}

struct JsonReader {
    const json &source;

    template<class T>
    void operator()(const char *name, T &value)
    {
        read(source.at(name), value);
    }

    template<class T>
    void operator()(const char *name, std::optional<T> &value)
    {
        const auto member = source.find(name);
        if (member != source.end() && !member->is_null()) {
            read(*member, value.emplace());
        }
    }

    template<class T>
    static void read(const json &from, std::vector<T> &values)
    {
        for (const json &item : from.get_ref<const json::array_t &>()) {
            read(item, values.emplace_back());
        }
    }

    template<class Tag>
    static void read(const json &from, Name<Tag> &name)
    {
        name.value = from.get<std::string>();
    }

    static void read(const json &from, Duration &duration)
    {
        std::int64_t count = 0;
        read(from, count);
        if (count < 0 || count > Duration::max() / std::chrono::milliseconds(1)) {
            throwInvalid("a duration is out of range", from);
        }
        duration = std::chrono::milliseconds(count);
    }

    static void read(const json &from, BurnCollection &collection)
    {
        Result<BurnCollection> parsed = parseBurnCollection(from.dump());
        if (!parsed) {
            throwInvalid(parsed.error().message, from);
        }
        collection = std::move(parsed.value());
    }

    template<class T>
    static void read(const json &from, T &value)
    {
        if constexpr (std::is_enum_v<T>) {
            const auto known = nameTable<T>().value(from.get_ref<const std::string &>());
            if (!known) {
                throwInvalid("a name is not one of: " + nameTable<T>().list(), from);
            }
            value = *known;
        } else if constexpr (std::is_integral_v<T> && !std::same_as<T, bool>) {
            readInteger(from, value);
        } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
            value = from.get<T>();
        } else {
            JsonReader reader{from};
            adminfields::visitFields(reader, value);
        }
    }

    // nlohmann::json converts floating-point and out-of-range numbers without an error, so the range is checked here.
    template<class T>
    static void readInteger(const json &from, T &value)
    {
        const bool fits = from.is_number_unsigned()
            ? std::in_range<T>(from.get<std::uint64_t>())
            : from.is_number_integer() && std::in_range<T>(from.get<std::int64_t>());
        if (!fits) {
            throwInvalid("a number is not an integer or out of range", from);
        }
        value = from.get<T>();
    }
};

} // namespace

template<class T>
std::string formatAdminValue(const T &value)
{
    return JsonWriter::write(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

template<class T>
Result<T> parseAdminValue(std::string_view text)
{
    try {
        T value;
        JsonReader::read(json::parse(text), value);
        return value;
    } catch (const json::exception &exception) {
        return makeError(ErrorKind::InvalidMessage,
                         std::string("Cannot parse the admin message: ") + exception.what() + ".",
                         "Check that the node and the tool have the same version.");
    }
}

template std::string formatAdminValue(const AdminProblem &);
template std::string formatAdminValue(const ConfigDocument &);
template std::string formatAdminValue(const ConfigChange &);
template std::string formatAdminValue(const ConfigApplied &);
template std::string formatAdminValue(const ConfigHistory &);
template std::string formatAdminValue(const WorkspaceList &);
template std::string formatAdminValue(const KeyList &);
template std::string formatAdminValue(const KeyGrantRequest &);
template std::string formatAdminValue(const KeyGrant &);
template std::string formatAdminValue(const KeyWithdrawRequest &);
template std::string formatAdminValue(const KeyWithdrawal &);
template std::string formatAdminValue(const FleetView &);
template std::string formatAdminValue(const RefusalList &);
template std::string formatAdminValue(const DrainRequest &);
template std::string formatAdminValue(const DrainState &);
template std::string formatAdminValue(const BurnFigures &);
template std::string formatAdminValue(const NodeStatus &);

template Result<AdminProblem> parseAdminValue(std::string_view);
template Result<ConfigDocument> parseAdminValue(std::string_view);
template Result<ConfigChange> parseAdminValue(std::string_view);
template Result<ConfigApplied> parseAdminValue(std::string_view);
template Result<ConfigHistory> parseAdminValue(std::string_view);
template Result<WorkspaceList> parseAdminValue(std::string_view);
template Result<KeyList> parseAdminValue(std::string_view);
template Result<KeyGrantRequest> parseAdminValue(std::string_view);
template Result<KeyGrant> parseAdminValue(std::string_view);
template Result<KeyWithdrawRequest> parseAdminValue(std::string_view);
template Result<KeyWithdrawal> parseAdminValue(std::string_view);
template Result<FleetView> parseAdminValue(std::string_view);
template Result<RefusalList> parseAdminValue(std::string_view);
template Result<DrainRequest> parseAdminValue(std::string_view);
template Result<DrainState> parseAdminValue(std::string_view);
template Result<BurnFigures> parseAdminValue(std::string_view);
template Result<NodeStatus> parseAdminValue(std::string_view);

} // namespace vanillatack
