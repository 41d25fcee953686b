package stoatrill.startup;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.List;
import java.util.Set;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import stoatrill.discovery.ServerList;

/**
 * Loads and initializes every class that a router may come to need, before it takes its first request. Guards requests
 * from files that can't be read later: a class that fails to load once is never tried again by the code that needs it.
 * The platform's own classes are mapped into memory from the start and need no call.
 */
public final class ClassPreloader {
    private static final String SUFFIX = ".class";
    private static final String ROOT = "stoatrill";
    /** Packages that a router which serves has no use for. */
    private static final Set<String> OTHERS = Set.of("stoatrill.cli", "stoatrill.homes", "stoatrill.wire");
    /** A list with every kind of value, and one that is broken off, to load what reading lists takes. */
    private static final List<String> LISTS = List.of(
            "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:1\",\"az\":null,"
                    + "\"capacity_hint\":1.5,\"boot_ms\":0,\"state\":\"Ready\"}]}",
            "{\"rev\":1,\"targets\":[{\"uid\":",
            "{\"rev\":\"x\",\"targets\":[]}",
            "{rev:1]",
            "[]");

    /**
     * Classes of the platform that failed calls take. The first reads a file of the platform's when it is initialized,
     * and is of no more use if it can't.
     */
    private static final List<String> PLATFORM = List.of(
            "sun.net.util.SocketExceptions",
            "sun.net.ConnectionResetException",
            "java.net.SocketException",
            "java.net.ConnectException",
            "java.net.NoRouteToHostException",
            "java.nio.channels.ClosedChannelException",
            "java.nio.channels.AsynchronousCloseException",
            "java.nio.channels.CancelledKeyException",
            "java.lang.Throwable$WrappedPrintStream",
            "sun.nio.ch.SocketChannelImpl");

    private ClassPreloader() {}

    /**
     * Loads the classes.
     *
     * @return how many were loaded
     * @throws IOException if one can't be read; what was loaded stays so, and another call loads the rest
     */
    public static int load() throws IOException {
        Path source = Path.of(ClassPreloader.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        List<String> names = Files.isDirectory(source) ? inDirectory(source) : inJar(source);
        int loaded = 0;
        for (String name : names) {
            if (serves(name)) {
                load(name);
                loaded++;
            }
        }
        for (String list : LISTS) {
            read(list);
        }
        for (String name : PLATFORM) {
            loadIfThere(name);
        }
        return loaded;
    }

    /** Loads a class that other versions of the platform may lack. */
    private static void loadIfThere(String name) throws IOException {
        try {
            Class<?> unused = Class.forName(name);
        } catch (ClassNotFoundException e) {
            // nothing else needs it then
        } catch (LinkageError e) {
            throw new IOException("class " + name + " can't be loaded", e);
        }
    }

    private static void load(String name) throws IOException {
        try {
            Class<?> unused = Class.forName(name);
        } catch (ClassNotFoundException | LinkageError e) {
            throw new IOException("class " + name + " can't be loaded", e);
        }
    }

    private static void read(String list) {
        try {
            ServerList unused = ServerList.parse(list);
        } catch (ServerList.BadListException e) {
            // as meant: what tells of it is loaded now
        }
    }

    private static boolean serves(String name) {
        String packageName = name.substring(0, Math.max(0, name.lastIndexOf('.')));
        return packageName.startsWith(ROOT) && !OTHERS.contains(packageName) && !name.endsWith("package-info");
    }

    private static List<String> inJar(Path jar) throws IOException {
        List<String> names = new ArrayList<>();
        try (JarFile file = new JarFile(jar.toFile())) {
            for (Enumeration<JarEntry> entries = file.entries(); entries.hasMoreElements(); ) {
                addClass(entries.nextElement().getName(), names);
            }
        }
        return names;
    }

    private static List<String> inDirectory(Path directory) throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.walk(directory)) {
            files.forEach(file -> addClass(
                    directory
                            .relativize(file)
                            .toString()
                            .replace(directory.getFileSystem().getSeparator(), "/"),
                    names));
        }
        return names;
    }

    private static void addClass(String file, List<String> names) {
        if (file.endsWith(SUFFIX)) {
            names.add(file.substring(0, file.length() - SUFFIX.length()).replace('/', '.'));
        }
    }
}
