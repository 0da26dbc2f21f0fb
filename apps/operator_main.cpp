#include <hyssopwick_operator.h>
#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(hyssopwick::runCommandLine({ argv + 1, argv + argc }, std::cout, std::cerr));
}
