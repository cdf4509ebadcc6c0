package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isEmpty() ? new LinkedHashMap<>() : (Map<String, Object>) parse(text);
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        skip();
        char next = text.charAt(at);
        switch (next) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            case 't':
                at += 4;
                return true;
            case 'f':
                at += 5;
                return false;
            case 'n':
                at += 4;
                return null;
            default:
                return number();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            String key = string();
            skip();
            at++;
            map.put(key, value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            list.add(value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char each = text.charAt(at++);
            if (each != '\\') {
                result.append(each);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    private Object number() {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(start, at);
        return number.matches("-?[0-9]+") ? (Object) Long.parseLong(number) : (Object) Double.parseDouble(number);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(separator);
                write(each.getKey().toString(), out);
                out.append(':');
                write(each.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object each : list) {
                out.append(separator);
                write(each, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char each : string.toCharArray()) {
                if (each == '"' || each == '\\') {
                    out.append('\\').append(each);
                } else if (each < 0x20) {
                    out.append(String.format("\\u%04x", (int) each));
                } else {
                    out.append(each);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
