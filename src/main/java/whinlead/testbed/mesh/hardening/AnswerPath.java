package whinlead.testbed.mesh.hardening;

import whinlead.plan.Calendar;
import whinlead.mesh.sidecar.EndpointLine;
import whinlead.mesh.sidecar.Round;
import whinlead.mesh.wire.Letter;
import whinlead.mesh.wire.Letters;
import whinlead.mesh.wire.Tie;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A way to another sidecar that is sound, with the real line to the endpoint beside that one. One thread;
 * driven time.
 */
final class AnswerPath implements Round.Path {
    private static final double DIAL_MS = 1;
    private static final double REDIAL_MS = 250;
    private static final double SILENCE_MS = 400;
    private static final int FULL_ONE_OF = 20;

    private final Calendar calendar;
    private final SplittableRandom random;
    private final Round.Ear ear;
    private final AnswerBug bug;
    private final EndpointLine line;
    private final Map<Long, EndpointLine.Sent> sent = new HashMap<>();
    private Tie.State state = Tie.State.DOWN;
    private int connection;
    private double thereAt;
    private double backAt;

    AnswerPath(Calendar calendar, SplittableRandom random, Round.Ear ear, AnswerEndpoint endpoint,
            AnswerBug bug) {
        this.calendar = calendar;
        this.random = random;
        this.ear = ear;
        this.bug = bug;
        this.line = new EndpointLine(calendar, endpoint::connect);
    }

    private void to(Tie.State next) {
        Tie.State before = state;
        state = next;
        ear.changed(next, before);
    }

    /** Ends the connection and makes another: a planted fault. */
    void reconnect() {
        if (state == Tie.State.UP) {
            connection++;
            to(Tie.State.DOWN);
            calendar.after(REDIAL_MS, this::dial);
        }
    }

    @Override
    public void dial() {
        to(Tie.State.DIALLING);
        calendar.after(DIAL_MS, () -> to(Tie.State.UP));
    }

    @Override
    public Tie.State state() {
        return state;
    }

    @Override
    public void close() {
        connection++;
        to(Tie.State.CLOSED);
    }

    @Override
    public boolean send(Letter letter) {
        byte[] written = Letters.write(letter);
        int mine = connection;
        thereAt = Math.max(thereAt, calendar.now() + random.nextInt(3));
        calendar.at(thereAt, () -> {
            Letter read = read(written);
            if (read instanceof Letter.Parcel parcel) {
                take(parcel, answer -> answer(mine, answer));
            } else if (read instanceof Letter.Cancel cancel && sent.containsKey(cancel.stream())) {
                sent.get(cancel.stream()).cancel(cancel.whileRunning());
            }
        });
        return true;
    }

    private void answer(int mine, Letter letter) {
        byte[] written = Letters.write(letter);
        backAt = Math.max(backAt, calendar.now() + random.nextInt(3));
        calendar.at(backAt, () -> {
            if (mine == connection) {
                ear.letter(read(written));
            }
        });
    }

    private static Letter read(byte[] written) {
        try {
            return Letters.read(written);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void take(Letter.Parcel parcel, Consumer<Letter> answer) {
        if (random.nextInt(FULL_ONE_OF) == 0) {
            answer.accept(new Letter.Returned(parcel.stream(), Letter.Why.FULL, 0, 0));
            return;
        }
        boolean[] told = {false};
        sent.put(parcel.stream(), line.send(parcel, parcel.endpoint(), letter -> {
            sent.remove(parcel.stream());
            if (!told[0]) {
                told[0] = true;
                answer.accept(passedOn(parcel, letter));
            }
        }));
        if (bug == AnswerBug.GIVES_UP_ON_SILENCE) {
            calendar.after(SILENCE_MS, () -> {
                if (!told[0]) {
                    told[0] = true;
                    answer.accept(new Letter.Returned(parcel.stream(), Letter.Why.BROKEN, 0, 0));
                }
            });
        }
    }

    private Letter passedOn(Letter.Parcel parcel, Letter letter) {
        boolean spoilt = letter instanceof Letter.Returned r && r.why() == Letter.Why.BROKEN;
        if (bug != AnswerBug.PASSES_HEADERS_OF_SPOILT_ANSWERS || !spoilt) {
            return letter;
        }
        String id = parcel.headers().get(parcel.headers().indexOf("Attempt-Id") + 1);
        return new Letter.Delivered(parcel.stream(), 502, List.of("Attempt-Id", id, "Server-Seal",
                AnswerEndpoint.seal(id, 200)), new byte[0], 0, 0);
    }
}
