# Generates a source file with the content of charts/*.ini: the function amaranthladder::embedded_charts.
file(GLOB chart_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/charts/*.ini)
set(EMBEDDED_CHARTS_SOURCE ${CMAKE_BINARY_DIR}/embedded_charts.cpp)
set(chart_rows "")
foreach(chart_file IN LISTS chart_files)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${chart_file})
  get_filename_component(chart_name ${chart_file} NAME_WE)
  file(READ ${chart_file} chart_text)
  string(APPEND chart_rows "    {\"${chart_name}\", R\"chart(${chart_text})chart\"},\n")
endforeach()
file(CONFIGURE OUTPUT ${EMBEDDED_CHARTS_SOURCE} @ONLY CONTENT "#include \"common/embedded_charts.h\"

#include <map>
#include <string>

namespace amaranthladder {
const std::map<std::string, std::string>& embedded_charts() {
    static const std::map<std::string, std::string> charts{
@chart_rows@    };
    return charts;
}
} // namespace amaranthladder
")
