# Compiler warnings for all targets of the project.
function(gannetcourse_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra $<$<BOOL:${GANNETCOURSE_STRICT}>:-Werror>)
endfunction()

# Adds a component: the static library gannetcourse_NAME with the alias gannetcourse::NAME. A component may use only
# the components that it links.
function(gannetcourse_component name)
  cmake_parse_arguments(COMPONENT "" "" "SOURCES;LINK" ${ARGN})
  set(target gannetcourse_${name})
  add_library(${target} STATIC ${COMPONENT_SOURCES})
  add_library(gannetcourse::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(${target} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
                                              $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
                                       PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_features(${target} PUBLIC cxx_std_20)
  target_link_libraries(${target} PUBLIC ${COMPONENT_LINK})
  gannetcourse_warnings(${target})
endfunction()

# Adds an executable.
function(gannetcourse_program target)
  cmake_parse_arguments(PROGRAM "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${target} ${PROGRAM_SOURCES})
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${target} PRIVATE ${PROGRAM_LINK})
  gannetcourse_warnings(${target})
endfunction()

# Compiles an XML schema into a target, as the function std::string_view NAMESPACE::FUNCTION() that returns its text.
function(gannetcourse_schema target file namespace function)
  get_filename_component(name ${file} NAME_WE)
  set(generated_file ${CMAKE_CURRENT_BINARY_DIR}/${target}_${name}_xsd.cpp)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  file(READ ${file} SCHEMA_TEXT)
  set(SCHEMA_FILE ${file})
  set(SCHEMA_NAMESPACE ${namespace})
  set(SCHEMA_FUNCTION ${function})
  configure_file(${PROJECT_SOURCE_DIR}/src/config/schema.cpp.in ${generated_file} @ONLY)
  target_sources(${target} PRIVATE ${generated_file})
endfunction()
