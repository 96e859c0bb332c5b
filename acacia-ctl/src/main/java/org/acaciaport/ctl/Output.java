package org.acaciaport.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.acaciaport.program.ExitCode;
import org.acaciaport.wire.Codecs;

/**
 * Prints results as text or, if the user asked for it, as JSON.
 *
 * <p>Not thread-safe.
 */
final class Output {
    private final PrintStream out;
    private final boolean json;

    Output(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Prints {@code text}, or {@code value} as JSON. */
    void print(String text, Object value) throws CtlException {
        if (json) {
            printJson(value);
        } else {
            out.println(text);
        }
    }

    /**
     * Prints a table of {@code rows}, or {@code document} as JSON.
     *
     * @param columns names of the fields to print; a dot separates the names of nested fields
     */
    void printTable(JsonNode document, JsonNode rows, String... columns) throws CtlException {
        if (json) {
            printJson(document);
            return;
        }
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.of(columns));
        for (JsonNode row : rows) {
            List<String> texts = new ArrayList<>();
            for (String column : columns) {
                JsonNode value = row.at("/" + column.replace('.', '/'));
                texts.add(value.isValueNode() ? value.asText() : value.toString());
            }
            cells.add(texts);
        }
        printAligned(cells);
    }

    private void printAligned(List<List<String>> cells) {
        int columns = cells.getFirst().size();
        int[] widths = new int[columns];
        for (List<String> row : cells) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : cells) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(String.format("%-" + (widths[i] + 2) + "s", row.get(i)));
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private void printJson(Object value) throws CtlException {
        try {
            out.println(Codecs.json().writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new CtlException(ExitCode.UNAVAILABLE, "answer cannot be printed: " + e.getOriginalMessage());
        }
    }
}
