package whinlead.mesh.storage;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import whinlead.mesh.departure.Departure;

/**
 * Persists the departures that a control node remembers. A file with one departure per line, its node and its endpoint,
 * replaced as a whole; synced when {@link #write} returns. One thread; a call may wait for the disk.
 */
public final class DepartureStore {
    private static final String FILE = "departures";
    private static final String SEPARATOR = " ";

    private final SyncedFile file;

    /** The store in this folder, which must exist. */
    public DepartureStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, which uses this syncer. */
    public DepartureStore(Path folder, Syncer syncer) {
        this.file = new SyncedFile(folder, FILE, syncer);
    }

    /**
     * The departures that were written last; none if none were ever written.
     *
     * @throws IOException if the file can't be read or parsed
     */
    public List<Departure> read() throws IOException {
        List<Departure> departures = new ArrayList<>();
        for (String line : file.read().orElse(List.of())) {
            departures.add(parse(line));
        }
        return departures;
    }

    private Departure parse(String line) throws IOException {
        String[] fields = line.split(SEPARATOR, -1);
        if (fields.length != 2) {
            throw new IOException(file + " is damaged");
        }
        return new Departure(fields[0], URLDecoder.decode(fields[1], StandardCharsets.UTF_8));
    }

    /**
     * Replaces the departures.
     *
     * @throws IOException if they may not survive a loss of power
     */
    public void write(List<Departure> departures) throws IOException {
        file.write(departures.stream().map(DepartureStore::format).toList());
    }

    // Endpoints choose their ids, so these may contain any character.
    private static String format(Departure departure) {
        return departure.node() + SEPARATOR + URLEncoder.encode(departure.endpoint(), StandardCharsets.UTF_8);
    }
}
