#include "RecordDirectory.h"

#include "../model/RecordCodec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace hyssopwick {

namespace {

    std::vector<std::string> recordFiles(const std::string& directory, Findings& findings)
    {
        std::vector<std::string> files;
        std::error_code error;
        for (auto item = std::filesystem::recursive_directory_iterator(directory, error); !error && item != std::filesystem::recursive_directory_iterator();
             item.increment(error)) {
            if (item->is_regular_file() && item->path().extension() == ".toml")
                files.push_back(item->path().string());
        }
        if (error)
            findings.push_back({ directory, 1, 1, "cannot be read: " + error.message() });
        else if (files.empty())
            findings.push_back({ directory, 1, 1, "contains no .toml file" });
        std::sort(files.begin(), files.end());
        return files;
    }

    std::string readFile(const std::string& file)
    {
        std::ifstream in(file, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

}

Bundle readRecordDirectory(const std::string& directory, Findings& findings)
{
    std::vector<Record> records;
    std::map<std::string, std::string> fileByKey;
    for (const auto& file : recordFiles(directory, findings)) {
        const auto record = parseRecord(readFile(file), file, findings);
        if (!record)
            continue;
        const auto [existing, isNew] = fileByKey.emplace(recordKey(*record), file);
        if (!isNew)
            findings.push_back({ file, 1, 1, "record " + recordKey(*record) + " is also in " + existing->second });
        records.push_back(*record);
    }
    Bundle bundle(records);
    for (auto finding : bundle.crossCheck()) {
        const auto file = fileByKey.find(finding.file);
        if (file != fileByKey.end())
            finding.file = file->second;
        findings.push_back(std::move(finding));
    }
    return bundle;
}

}
