#pragma once

#include "SoakTypes.h"

#include <cstdio>
#include <fstream>
#include <string>

namespace review {

/// The file record.txt of a case: one line for each event, with seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    template <typename... Parts>
    void line(const Parts&... parts)
    {
        char time[24];
        std::snprintf(time, sizeof time, "%8.3f ", hyssopwick::soak::secondsBetween(m_startedAt, hyssopwick::soak::now()));
        m_file << time;
        (m_file << ... << parts) << "\n";
        m_file.flush();
    }

    double seconds() const { return hyssopwick::soak::secondsBetween(m_startedAt, hyssopwick::soak::now()); }

private:
    std::ofstream m_file;
    hyssopwick::soak::TimePoint m_startedAt = hyssopwick::soak::now();
};

}
