#pragma once

#include "core/enumtable.h"
#include "parsing/scalars.h"

#include <type_traits>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Pimentohollow
{

/**
 * Writes the fields of an aggregate as one flow-style YAML map with quoted strings.
 * The same value always gives the same text, so that texts can be compared and hashed.
 * @see FieldReader
 */
class FieldWriter
{
public:
    explicit FieldWriter(YAML::Emitter &emitter)
        : m_emitter(emitter)
    {
        m_emitter << YAML::Flow << YAML::BeginMap;
    }

    template <typename T>
    void required(const std::string &field, const T &value, const Range & = {})
    {
        writeKey(field);
        writeValue(value);
    }

    template <typename T>
    void optional(const std::string &field, const T &value, const Range & = {})
    {
        required(field, value);
    }

    template <typename T>
    void optional(const std::string &field, const std::optional<T> &value, const Range & = {})
    {
        if (value) {
            required(field, *value);
        }
    }

    template <typename Enum, std::size_t Size>
    void choice(const std::string &field, const Enum &value, const EnumTable<Enum, Size> &names)
    {
        required(field, std::string(names.name(value)));
    }

    template <typename T>
    void list(const std::string &field, const std::vector<T> &values)
    {
        writeKey(field);
        m_emitter << YAML::Flow << YAML::BeginSeq;
        for (const auto &it : values) {
            writeValue(it);
        }
        m_emitter << YAML::EndSeq;
    }

    template <typename T, typename Write>
    void forEach(const std::string &field, const std::vector<T> &items, Write &&write)
    {
        writeKey(field);
        m_emitter << YAML::Flow << YAML::BeginSeq;
        for (const auto &it : items) {
            FieldWriter writer(m_emitter);
            write(writer, it);
            writer.finish();
        }
        m_emitter << YAML::EndSeq;
    }

    template <typename Write>
    void section(const std::string &field, Write &&write)
    {
        writeKey(field);
        FieldWriter writer(m_emitter);
        write(writer);
        writer.finish();
    }

    void finish()
    {
        m_emitter << YAML::EndMap;
    }

private:
    void writeKey(const std::string &field)
    {
        m_emitter << YAML::Key << YAML::DoubleQuoted << field << YAML::Value;
    }

    template <typename T>
    void writeValue(const T &value)
    {
        if constexpr (!std::is_arithmetic_v<T>) {
            m_emitter << YAML::DoubleQuoted;
        }
        m_emitter << formatScalar(value);
    }

    YAML::Emitter &m_emitter;
};

} // namespace Pimentohollow
