package org.acaciaport.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.io.IOException;
import java.util.stream.Collectors;

/** Static methods that describe parse errors of the JSON and TOML library in one line. */
public final class JsonErrors {
    private JsonErrors() {}

    /** Returns a description of {@code error} that includes its location. */
    public static String describe(IOException error) {
        return switch (error) {
            case UnrecognizedPropertyException e ->
                "unknown field '" + path(e) + "'; known are "
                        + e.getKnownPropertyIds().stream()
                                .map(Object::toString)
                                .sorted()
                                .collect(Collectors.joining(", "));
            case JsonMappingException e -> "field '" + path(e) + "': " + e.getOriginalMessage();
            case JsonProcessingException e -> "syntax at line " + lineOf(e) + ": " + e.getOriginalMessage();
            default -> error.getMessage();
        };
    }

    /** Returns the dotted path of the field at which {@code error} occurred. */
    public static String path(JsonMappingException error) {
        return error.getPath().stream()
                .map(r -> r.getFieldName() == null ? Integer.toString(r.getIndex()) : r.getFieldName())
                .collect(Collectors.joining("."));
    }

    private static int lineOf(JsonProcessingException error) {
        return error.getLocation() == null ? 0 : error.getLocation().getLineNr();
    }
}
